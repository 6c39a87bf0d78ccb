#include "dispatch/OwnerFixture.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

namespace {

constexpr const char *job = "00000000000000aa";
constexpr const char *laterJob = "00000000000000bb";
constexpr std::int64_t former = 1;
constexpr std::int64_t successor = 2;
constexpr Milliseconds longTask { 12000 };
constexpr Milliseconds shortTask { 1000 };
/** The tasks of one core that fill three workers. */
constexpr int roomForTasks = 24;
/** More tasks than three workers can run during a cut. */
constexpr int manyTasks = 400;
constexpr Milliseconds cutDuration { 14000 };
/** From the cut until another process takes over. */
constexpr Milliseconds takeoverDelay { 900 };
/** How far the fixture advances at a takeover. */
constexpr Milliseconds takeoverDuration { 600 };

/** A cell in which an owner and its successor act at the same time, each cut off from what the other reaches. */
struct PartitionedCell : OwnerFixture
{
    explicit PartitionedCell(Milliseconds duration = longTask)
    {
        plan = [this, duration](const TaskName &, std::int64_t attempt) {
            // Each owner numbers its attempts from a range of 1,000 of its own.
            lastFormerStart = attempt < 1000 ? timers.now() : lastFormerStart;
            return SimulatedWork { duration, RunOutcome::Done };
        };
    }

    /** Adds workers of 8 cores and waits until the owner has read them. */
    void addWorkers(const std::vector<std::string> &ids)
    {
        for (const auto &id : ids) {
            addWorker(id, 8);
        }
        if (owner) {
            timers.advance(Milliseconds(2000));
        }
    }

    /** Hands in a job with tasks of one core and waits until those that have room run. */
    void submitAndStart(int tasks, std::size_t running)
    {
        REQUIRE(submit(job, jobBody(tasks, 1000)) == ClientResult::Outcome::Accepted);
        timers.advance(Milliseconds(300));
        REQUIRE(starts.size() == running);
    }

    /** The former owner reaches only w1, its successor all others. */
    void part()
    {
        cutOff(former, { "w2", "w3" }, true);
        cutOff(successor, { "w1" }, false);
        replaceOwner();
    }

    void replaceOwner()
    {
        timers.advance(takeoverDelay);
        takenOverAt = timers.now();
        takeOver(false);
    }

    void healAndCheck()
    {
        timers.advance(cutDuration - takeoverDelay - takeoverDuration);
        heal();
        CHECK(runUntil(job, JobStage::Completed, Milliseconds(120000)));
        startCount = starts.size();
        // A worker without work is not polled: ends that were read late are acknowledged with the next one.
        timers.advance(Milliseconds(2000));
        REQUIRE(submit(laterJob, jobBody(roomForTasks, 1000)) == ClientResult::Outcome::Accepted);
        CHECK(runUntil(laterJob, JobStage::Completed, Milliseconds(120000)));
        if (!violations().empty()) {
            FAIL_CHECK(violations().size() << " violations, the first: " << violations().front());
        }
    }

    TimePoint takenOverAt;
    /** How many starts there were until the job had ended. */
    std::size_t startCount = 0;
    TimePoint lastFormerStart;
};

} // namespace

// Guards against an owner that takes runs for lost when its own leases for them have ended, and starts them on the one worker that
// it still reaches, although its successor has adopted them.
TEST_CASE("an owner that reaches one worker only does not start again what its successor has adopted", "[partition]")
{
    PartitionedCell cell;
    cell.addWorkers({ "w2", "w3" });
    cell.takeOver();
    cell.submitAndStart(6, 6);
    cell.addWorkers({ "w1" });
    cell.part();
    cell.healAndCheck();
    CHECK(cell.startCount == 6);
}

// Guards against a successor that takes an unread worker's runs for ended after one lease, while the former owner renews them: they
// run on two workers at once, or again after an end that is acknowledged once the worker can be read.
TEST_CASE("a successor does not start what the former owner keeps alive on a worker that it cannot read", "[partition]")
{
    const auto duration = GENERATE(Milliseconds(12000), Milliseconds(4000));
    CAPTURE(duration.count());
    PartitionedCell cell(duration);
    cell.addWorkers({ "w1" });
    cell.takeOver();
    cell.submitAndStart(6, 6);
    cell.addWorkers({ "w2", "w3" });
    cell.part();
    cell.healAndCheck();
}

// Guards against an owner that starts tasks for as long as a cut lasts, on a worker that has had no order of its successor.
TEST_CASE("an owner that is cut off from the store and most workers stops starting accepted tasks", "[partition]")
{
    constexpr Milliseconds bound { 6500 };
    PartitionedCell cell(shortTask);
    cell.addWorkers({ "w1", "w2", "w3" });
    cell.takeOver();
    cell.submitAndStart(manyTasks, roomForTasks);
    cell.part();
    cell.healAndCheck();
    CHECK(cell.lastFormerStart - cell.takenOverAt <= bound);
}

// Guards against an owner that stops its work because it does not reach the store, although no process does.
TEST_CASE("accepted work goes on while the store is away for all processes", "[partition]")
{
    const bool isSilent = GENERATE(false, true);
    const bool isLong = GENERATE(true, false);
    const int tasks = isLong ? roomForTasks : manyTasks;
    CAPTURE(isSilent, isLong);
    PartitionedCell cell(isLong ? longTask : shortTask);
    cell.addWorkers({ "w1", "w2", "w3" });
    cell.takeOver();
    cell.submitAndStart(tasks, roomForTasks);
    cell.cutOff(former, {}, isSilent);
    cell.store.setDown(!isSilent);
    for (int part = 0; part < 5; ++part) {
        const auto startsBefore = cell.starts.size();
        cell.timers.advance(Milliseconds(2000));
        CHECK((cell.starts.size() > startsBefore || isLong));
    }
    cell.heal();
    cell.store.setDown(false);
    cell.healAndCheck();
    // A task whose lease had lapsed would have been started again.
    CHECK(cell.startCount == static_cast<std::size_t>(tasks));
}

// Guards against a takeover that stops what runs, or lets it lapse, though each worker is reached by both owners.
TEST_CASE("an owner that is cut off from the store alone is replaced and no run is lost", "[partition]")
{
    const bool isLong = GENERATE(true, false);
    const int tasks = isLong ? roomForTasks : manyTasks;
    CAPTURE(isLong);
    PartitionedCell cell(isLong ? longTask : shortTask);
    cell.addWorkers({ "w1", "w2", "w3" });
    cell.takeOver();
    cell.submitAndStart(tasks, roomForTasks);
    cell.cutOff(former, {}, true);
    cell.replaceOwner();
    cell.healAndCheck();
    CHECK(cell.startCount == static_cast<std::size_t>(tasks));
}

// Guards against a successor that waits longer than a lease requires for a worker that is dead, though all others can be read.
TEST_CASE("inherited jobs start within 7 s of a takeover from a killed owner while one worker is dead", "[partition]")
{
    constexpr Milliseconds bound { 7000 };
    PartitionedCell cell;
    cell.addWorkers({ "w1", "w2", "w3" });
    cell.takeOver();
    cell.submitAndStart(roomForTasks + 6, roomForTasks);
    cell.fleet.worker("w3").isCutOff = true;
    cell.killOwner();
    cell.timers.advance(takeoverDelay);
    cell.addWorkers({ "w4" });
    cell.takeOver();
    REQUIRE(cell.starts.size() == roomForTasks);
    cell.timers.advance(bound - takeoverDuration);
    CHECK(cell.starts.size() > roomForTasks);
    CHECK(cell.runUntil(job, JobStage::Completed, Milliseconds(120000)));
    CHECK(cell.violations().empty());
}

// Guards against a client that sees a job as running again, because a cut-off owner answers it, after the successor has shown the
// job as completed.
TEST_CASE("an owner that is cut off from the store and most workers does not answer how an open job stands", "[partition]")
{
    PartitionedCell cell(Milliseconds(4000));
    cell.addWorkers({ "w1", "w2", "w3" });
    cell.takeOver();
    cell.submitAndStart(roomForTasks, roomForTasks);
    auto &formerOwner = *cell.owner;
    const auto query = [&formerOwner] {
        ClientCall call;
        call.kind = ClientCall::Kind::Query;
        call.job = job;
        ClientResult answer;
        formerOwner.call(call, [&answer](const ClientResult &result) { answer = result; });
        return answer.outcome;
    };
    CHECK(query() == ClientResult::Outcome::Answered);
    cell.part();
    cell.timers.advance(Milliseconds(3000));
    CHECK(query() == ClientResult::Outcome::Refused);
    cell.healAndCheck();
}

// Guards against an owner that takes the inherited leases of a worker which it never read for over, and starts the runs on others,
// although its successor has read that worker and adopted them.
TEST_CASE("an owner whose wait for an unread worker ends during a cut does not start what its successor has adopted", "[partition]")
{
    constexpr std::int64_t waiting = 2;
    PartitionedCell cell;
    cell.addWorkers({ "w1" });
    cell.takeOver();
    cell.submitAndStart(6, 6);
    cell.addWorkers({ "w2", "w3" });
    cell.cutOff(waiting, { "w1" }, false);
    cell.takeOver();
    cell.timers.advance(Milliseconds(2000));
    cell.cutOff(waiting, { "w1" }, true);
    cell.cutOff(waiting + 1, { "w2", "w3" }, false);
    cell.replaceOwner();
    cell.healAndCheck();
    CHECK(cell.startCount == 6);
}
