#include "dispatch/OwnerFixture.h"
#include "workload/WorkerLease.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace auburndoor;

// Guards against a task that lasts and that waits for the longest lease of a start that its crashed worker never answered.
TEST_CASE("a task that lasts starts again in time after a start into a crash", "[loss]")
{
    const bool isAnswered = GENERATE(true, false);
    CAPTURE(isAnswered);
    OwnerFixture cell;
    cell.plan = [](const TaskName &, std::int64_t) { return SimulatedWork { Milliseconds(600000), RunOutcome::Done }; };
    cell.addWorker("w1", 4);
    cell.addWorker("s1", 4, "studio");
    cell.addWorker("s2", 4, "studio");
    cell.takeOver();
    cell.timers.advance(Milliseconds(8000));
    auto &worker = cell.fleet.worker("w1");
    std::vector<TimePoint> startedAt;
    cell.fleet.onStarted = [&](SimulatedWorker &, const StartCommand &) { startedAt.push_back(cell.timers.now()); };
    cell.fleet.drawFault = [&] { return CommandFault { isAnswered ? CommandFault::Kind::None : CommandFault::Kind::AnswerLost }; };
    REQUIRE(cell.submit("00000000000000aa", jobBody(1, 3000, R"(,"longRunning":true)")) == ClientResult::Outcome::Accepted);
    for (int step = 0; step < 500 && startedAt.empty(); ++step) {
        cell.timers.advance(Milliseconds(2));
    }
    REQUIRE(startedAt.size() == 1);
    if (isAnswered) {
        cell.timers.advance(Milliseconds(1500));
    }
    // It crashes, and nothing comes back at its address.
    const auto crashedAt = cell.timers.now();
    worker.restart();
    worker.isCutOff = true;
    cell.fleet.drawFault = {};
    cell.addWorker("w2", 4);
    cell.timers.advance(Milliseconds(4000));
    cell.unlist("w1");
    cell.timers.advance(Milliseconds(12000));
    REQUIRE(startedAt.size() == 2);
    const auto waited = std::chrono::duration_cast<Milliseconds>(startedAt[1] - crashedAt);
    CAPTURE(waited.count());
    // 6 s after its last run, and the 3 s for which the platform looks on.
    CHECK(waited < Milliseconds(9000));
}

// Guards against a wait for the longest lease on a worker without any lease: one that was idle for an hour has no deadline on its
// former clock that could still arrive.
TEST_CASE("a restart after the end of the last lease does not move the end of the leases", "[loss]")
{
    ManualTimers timers;
    WorkerLease lease(timers, Milliseconds(10000));
    lease.updateClock(Milliseconds(480000));
    lease.grant(Milliseconds(5000));
    timers.advance(std::chrono::hours(1));
    lease.resetClock();
    CHECK(lease.end() <= timers.now());
}
