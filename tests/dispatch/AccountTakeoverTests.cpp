#include "dispatch/AccountCell.h"
#include "dispatch/InheritedTasks.h"
#include "dispatch/InheritedUse.h"
#include "dispatch/JobManager.h"
#include "dispatch/UnreadCapacity.h"
#include "fakes/JobIds.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

namespace {

/** A cell whose account "a" has 4 of its 8 tasks on "far", a worker that the next owner cannot reach. */
class CutCell : public AccountCell
{
public:
    CutCell()
    {
        plan = [](const TaskName &, std::int64_t) { return SimulatedWork { Milliseconds(30000), RunOutcome::Done }; };
        addWorker("far", 4);
        setLimit("a", 8000);
        takeOver();
        REQUIRE(submitFor("a", jobIdOf(0), 8, 1000) == ClientResult::Outcome::Accepted);
        timers.advance(Milliseconds(200));
        addWorker("near", 32);
        // With it the next owner reads most of the workers, so that it waits for no more than one lease.
        addWorker("idle", 1);
        timers.advance(Milliseconds(3000));
        REQUIRE(use("a") == 8000);
        // Its lease holds for some seconds more, and its runs go on.
        fleet.worker("far").isCutOff = true;
    }
};

} // namespace

// Guards against an owner that counts only the runs that it knows: those on a worker which it cannot reach go on meanwhile.
TEST_CASE("runs on a worker that a new owner cannot reach count for the limit until their leases are over", "[account-limits]")
{
    const auto lowered = GENERATE(0, 6000);
    CAPTURE(lowered);
    CutCell cell;
    cell.takeOver();
    if (lowered > 0) {
        cell.setLimit("a", lowered);
    }
    // Jobs that come after the takeover do not wait for the reports of workers.
    REQUIRE(cell.submitFor("a", jobIdOf(1), 8, 1000) == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(2000));
    CHECK(cell.use("a") == 8000);
    CHECK(cell.overuse().empty());
    // An unreachable worker does not keep its account from the limit for longer.
    cell.timers.advance(Milliseconds(15000));
    CHECK(cell.use("a") == (lowered > 0 ? lowered : 8000));
    CHECK(cell.fleet.worker("far").runs().empty());
    CHECK(cell.overuse().empty());
    CHECK(cell.violations().empty());
}

// Guards against the room of a cancelled job that is given away while its runs go on where the stop does not arrive.
TEST_CASE("the unknown runs of a job that is cancelled after a takeover still count for the limit", "[account-limits]")
{
    CutCell cell;
    cell.takeOver();
    REQUIRE(cell.cancel(jobIdOf(0)) == ClientResult::Outcome::Cancelled);
    REQUIRE(cell.submitFor("a", jobIdOf(1), 12, 1000) == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(1000));
    CHECK(cell.use("a") == 8000);
    cell.timers.advance(Milliseconds(15000));
    CHECK(cell.use("a") == 8000);
    CHECK(cell.fleet.worker("far").runs().empty());
    CHECK(cell.overuse().empty());
}

// Guards against a new owner that knows nothing of runs whose job was ended before the takeover, and against descriptions that
// stay.
TEST_CASE("the runs of a job that a former owner has cancelled count until they are over", "[account-limits]")
{
    CutCell cell;
    REQUIRE(cell.cancel(jobIdOf(0)) == ClientResult::Outcome::Cancelled);
    cell.timers.advance(Milliseconds(500));
    REQUIRE(cell.use("a") == 4000);
    cell.takeOver();
    REQUIRE(cell.submitFor("a", jobIdOf(1), 12, 1000) == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(500));
    CHECK(cell.use("a") == 8000);
    const bool isReturning = GENERATE(false, true);
    CAPTURE(isReturning);
    cell.fleet.worker("far").isCutOff = !isReturning;
    cell.timers.advance(Milliseconds(isReturning ? 2000 : 15000));
    CHECK(cell.fleet.worker("far").runs().empty());
    CHECK(cell.use("a") == 8000);
    CHECK(cell.overuse().empty());
    CHECK(cell.store.row(JobTables::jobs, jobIdOf(0)) == nullptr);
    CHECK(cell.store.row(JobTables::jobs, jobIdOf(1)) != nullptr);
}

// Guards against an account at its limit whose accepted job is lost, or started twice, with the owner that has accepted it.
TEST_CASE("an owner that is killed between acceptance and start leaves a job that runs within the limit", "[account-limits]")
{
    AccountCell cell;
    cell.addWorker("w1", 8);
    cell.addWorker("w2", 8);
    cell.setLimit("a", 4000);
    cell.plan = [](const TaskName &, std::int64_t) { return SimulatedWork { Milliseconds(1000), RunOutcome::Done }; };
    cell.takeOver();
    REQUIRE(cell.submitFor("a", jobIdOf(0), 6, 1000) == ClientResult::Outcome::Accepted);
    REQUIRE(cell.submitFor("a", jobIdOf(1), 2, 2000, R"(,"gang":true)", "urgent") == ClientResult::Outcome::Accepted);
    const bool isStarted = GENERATE(false, true);
    CAPTURE(isStarted);
    cell.timers.advance(Milliseconds(isStarted ? 100 : 0));
    cell.takeOver();
    CHECK(cell.runUntil(jobIdOf(0), JobStage::Completed, Milliseconds(8000)));
    CHECK(cell.runUntil(jobIdOf(1), JobStage::Completed, Milliseconds(8000)));
    CHECK(cell.peaks["a"] == 4000);
    CHECK(cell.overuse().empty());
    CHECK(cell.violations().empty());
}

// Guards against an account that is kept back by more than the unread workers can hold, and one that is not by idle-time tasks,
// which no worker's capacity bounds.
TEST_CASE("inherited tasks count up to the capacity of the unread workers", "[account-limits]")
{
    InheritedTasks tasks;
    tasks.account = "a";
    tasks.steps = { { { 1000, 100, 0, 0, 0 }, false, 10 }, { { 500, 10, 0, 0, 0 }, true, 8 } };
    InheritedUse use;
    use.add(tasks);
    CHECK(use.compute({}).empty());
    CHECK(use.compute({ true, true, { 4000, 5000, 0, 0, 0 } }).at("a") == Resources { 8000, 1080, 0, 0, 0 });
    CHECK(use.compute({ true, false, { 4000, 5000, 0, 0, 0 } }).at("a") == Resources { 14000, 1080, 0, 0, 0 });
}
