#include "dispatch/OwnerFixture.h"
#include "fakes/JobIds.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <ctime>
#include <functional>
#include <random>

using namespace auburndoor;

namespace {

/** Submits a job without waiting for the answer, and increments accepted once it is accepted. */
void submitWithoutWaiting(OwnerFixture &cell, int number, const std::string &queue, const std::string &body, std::size_t &accepted)
{
    ClientCall call;
    call.kind = ClientCall::Kind::Submit;
    call.queue = queue;
    call.job = jobIdOf(number);
    call.body = body;
    cell.owner->call(
        call, [&accepted](const ClientResult &result) { accepted += result.outcome == ClientResult::Outcome::Accepted ? 1 : 0; });
}

} // namespace

// Guards against an owner that a long queue keeps too busy to send its pulses, so that it is replaced: each takeover reads all
// state again, and the queue grows further. An owner counts as silent after 600 ms, which is 150 ms of processor time on the
// quarter of a core that it may use.
TEST_CASE("a long queue of jobs that do not fit leaves processor time for the owner's pulses")
{
    constexpr double maxProcessorTime = 0.150;
    constexpr int workers = 250;
    constexpr int jobsPerSlice = 2;
    constexpr int slices = 300;
    OwnerFixture cell;
    cell.fleet.onStarted = {};
    std::mt19937 random(1);
    const auto draw = [&random](int from, int to) { return std::uniform_int_distribution<int>(from, to)(random); };
    for (int number = 0; number < workers; ++number) {
        cell.addWorker("w" + std::to_string(number), number % 3 == 0 ? 16 : 32);
    }
    cell.plan = [&draw](const TaskName &, std::int64_t) {
        return SimulatedWork { Milliseconds(draw(300, 6000)), RunOutcome::Done };
    };
    cell.takeOver();
    std::size_t accepted = 0;
    double longestDuration = 0;
    for (int slice = 0; slice < slices; ++slice) {
        for (int job = 0; job < jobsPerSlice; ++job) {
            const bool isUrgent = draw(0, 9) != 0;
            submitWithoutWaiting(cell,
                                 slice * jobsPerSlice + job,
                                 isUrgent ? "advised" : "normal",
                                 jobBody(draw(2, 18), draw(3000, 9000), isUrgent ? "" : R"(,"checkpoints":true)"),
                                 accepted);
        }
        const auto before = std::clock();
        cell.timers.advance(Milliseconds(20));
        longestDuration = std::max(longestDuration, static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC);
    }
    CHECK(longestDuration < maxProcessorTime);
}

// Guards against a round of placement that blocks the loop for longer the longer the queue is, and against steps at the end of the
// queue that are never placed.
TEST_CASE("a long round of placement is interrupted and continued")
{
    constexpr int jobs = 400;
    constexpr Milliseconds interval { 20 };
    OwnerFixture cell;
    cell.fleet.onStarted = {};
    cell.addWorker("w1", jobs);
    cell.takeOver();
    std::size_t accepted = 0;
    for (int number = 0; number < jobs; ++number) {
        submitWithoutWaiting(cell, number, "normal", jobBody(1, 1000), accepted);
    }
    // Each reading of the clock advances it, in place of work: an uninterrupted round would take over 100 ms.
    cell.timers.chargeReadings(std::chrono::microseconds(100));
    Milliseconds longestDuration { 0 };
    auto expectedAt = cell.timers.now() + interval;
    std::function<void()> measureDelay = [&] {
        longestDuration = std::max(longestDuration, std::chrono::duration_cast<Milliseconds>(cell.timers.now() - expectedAt));
        expectedAt = cell.timers.now() + interval;
        cell.timers.after(interval, measureDelay);
    };
    cell.timers.after(interval, measureDelay);
    cell.timers.advance(Milliseconds(4000));
    CHECK(longestDuration < Milliseconds(60));
    CHECK(accepted > jobs / 2);
    std::size_t completed = 0;
    for (int number = 0; number < jobs; ++number) {
        completed += cell.stage(jobIdOf(number)) == JobStage::Completed ? 1 : 0;
    }
    CHECK(completed == accepted);
}
