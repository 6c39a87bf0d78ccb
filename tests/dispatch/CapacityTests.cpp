#include "dispatch/OwnerFixture.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

namespace {

const std::string runningJob = "00000000000000aa";
const std::string waitingJob = "00000000000000bb";
// A changed capacity counts this long after the worker has shown it.
constexpr Milliseconds timeUntilCapacityCounts { 4500 };

Resources cores(int count)
{
    return { std::int64_t(count) * 1000, 1 << 20, 0, 0, 0 };
}

/** Changes a worker's capacity and its directory entry, and waits until it counts. */
void changeCapacity(OwnerFixture &cell, const std::string &worker, int count)
{
    cell.fleet.worker(worker).setCapacity(cores(count));
    cell.list(worker);
    cell.timers.advance(timeUntilCapacityCounts);
}

SimulatedWorker::Plan runFor(Milliseconds duration)
{
    return [duration](const TaskName &, std::int64_t) { return SimulatedWork { duration, RunOutcome::Done }; };
}

} // namespace

// Guards against starts by the room that a worker had before its capacity shrank.
TEST_CASE("nothing starts on a worker whose capacity has shrunk until it fits, and what runs goes on")
{
    OwnerFixture cell;
    cell.plan = runFor(Milliseconds(30000));
    cell.addWorker("w1", 16);
    cell.takeOver();
    REQUIRE(cell.submit(runningJob, jobBody(4, 3000)) == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(500));
    REQUIRE(cell.starts.size() == 4);
    changeCapacity(cell, "w1", 8);
    REQUIRE(cell.submit(waitingJob, jobBody(1, 1000)) == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(3000));
    CHECK(cell.starts.size() == 4);
    SECTION("it grows again")
    {
        changeCapacity(cell, "w1", 13);
        CHECK(cell.starts.size() == 5);
    }
    SECTION("a new owner reads the entry")
    {
        cell.takeOver();
        cell.timers.advance(Milliseconds(5000));
        CHECK(cell.starts.size() == 4);
        changeCapacity(cell, "w1", 13);
        CHECK(cell.starts.size() == 5);
    }
    SECTION("its tasks end")
    {
        CHECK(cell.runUntil(runningJob, JobStage::Completed, Milliseconds(40000)));
        cell.timers.advance(Milliseconds(500));
        CHECK(cell.starts.size() == 5);
    }
    CHECK(cell.fleet.worker("w1").listedEnds().size() < 5);
    CHECK(cell.violations().empty());
}

// Guards against room that advice has reserved before the capacity shrank, and that a task or a gang starts in afterwards.
TEST_CASE("a step that has waited for advice starts by the capacity of that time")
{
    OwnerFixture cell;
    cell.plan = runFor(Milliseconds(3000));
    const bool isGang = GENERATE(false, true);
    cell.addWorker("w1", 8);
    cell.addWorker("w2", 8);
    cell.takeOver();
    cell.advisor.responseTime = timeUntilCapacityCounts + Milliseconds(1000);
    cell.advisor.validity = Milliseconds(60000);
    const auto body = jobBody(2, 6000, isGang ? R"(,"gang":true)" : "");
    REQUIRE(cell.submit(waitingJob, body, "advised") == ClientResult::Outcome::Accepted);
    changeCapacity(cell, "w1", 4);
    cell.timers.advance(Milliseconds(2000));
    CHECK(cell.starts.size() == (isGang ? 0 : 1));
    changeCapacity(cell, "w1", 8);
    CHECK(cell.runUntil(waitingJob, JobStage::Completed, Milliseconds(30000)));
    CHECK(cell.violations().empty());
}

// Guards against more urgent work that starts in room that is not there any more, or before what it stops has ended.
TEST_CASE("preemption on a worker whose capacity has shrunk makes room by the new capacity")
{
    OwnerFixture cell;
    cell.plan = runFor(Milliseconds(20000));
    cell.addWorker("w1", 16);
    cell.takeOver();
    const auto body = jobBody(4, 4000, R"(,"checkpoints":true)");
    REQUIRE(cell.submit(runningJob, body) == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(1500));
    REQUIRE(cell.starts.size() == 4);
    changeCapacity(cell, "w1", 8);
    REQUIRE(cell.submit(waitingJob, jobBody(1, 4000), "urgent") == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(4000));
    CHECK(cell.violations().empty());
}

// Guards against a start on a restarted worker by the capacity of its earlier incarnation, before its new entry is read.
TEST_CASE("a restarted worker gets nothing before the entry of its new incarnation is known")
{
    OwnerFixture cell;
    cell.plan = runFor(Milliseconds(1000));
    cell.addWorker("w1", 16);
    cell.takeOver();
    REQUIRE(cell.submit(runningJob, jobBody(1, 6000)) == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(200));
    REQUIRE(cell.starts.size() == 1);
    // The report of the new incarnation arrives before its entry, which shows a smaller capacity.
    auto &worker = cell.fleet.worker("w1");
    worker.restart();
    worker.setCapacity(cores(4));
    cell.timers.advance(Milliseconds(6000));
    CHECK(cell.starts.size() == 1);
    worker.setCapacity(cores(8));
    cell.list("w1");
    CHECK(cell.runUntil(runningJob, JobStage::Completed, Milliseconds(6000)));
    CHECK(cell.violations().empty());
}
