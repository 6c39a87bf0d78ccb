#include "dispatch/OwnerFixture.h"
#include "fakes/JobIds.h"

#include <catch2/catch.hpp>

#include <optional>
#include <string>

using namespace auburndoor;

namespace {

constexpr Milliseconds timeStep { 10 };
const std::string serviceId = "00000000000000aa";

/**
    The wait of a less urgent job for the only free room, from its submission to a new owner that does not reach the worker of a
    service. The service's task may run there, and nothing of the service may start until the owner knows.

    @param queue      the queue of the service
    @param answerTime how long the advisory service takes
*/
Milliseconds measureStartBesideWaitingService(const std::string &queue, Milliseconds answerTime)
{
    OwnerFixture cell;
    cell.plan = [](const TaskName &, std::int64_t) { return SimulatedWork { std::chrono::hours(1), RunOutcome::Done }; };
    cell.addWorker("w1", 4);
    for (int number = 0; number < 20; ++number) {
        cell.addWorker("s" + std::to_string(number), 2);
    }
    cell.takeOver();
    REQUIRE(cell.submit(serviceId, jobBody(1, 3000, R"(,"longRunning":true)"), queue) == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(2000));
    REQUIRE(cell.starts.size() == 1);
    cell.addWorker("w2", 4);
    cell.timers.advance(Milliseconds(3000));
    cell.advisor.responseTime = answerTime;
    cell.fleet.worker("w1").isCutOff = true;
    cell.takeOver();
    const auto submittedAt = cell.timers.now();
    REQUIRE(cell.submit(jobIdOf(1), jobBody(1, 3000)) == ClientResult::Outcome::Accepted);
    while (cell.starts.size() < 2 && cell.timers.now() - submittedAt < std::chrono::minutes(1)) {
        cell.timers.advance(timeStep);
    }
    REQUIRE(cell.starts.size() == 2);
    CHECK(cell.starts.back().task.job == jobIdOf(1));
    return std::chrono::duration_cast<Milliseconds>(cell.timers.now() - submittedAt);
}

} // namespace

// Guards against room that is kept for a service whose task may still run on a worker that a new owner has not read: nothing of the
// service can start there for several seconds, and other work waits beside the free room.
TEST_CASE("a service that waits for an unread worker keeps no room from other work while its advice is asked for early")
{
    constexpr Milliseconds answerTime { 2500 };
    constexpr Milliseconds allowance { 200 };
    const auto waitWithoutAdvice = measureStartBesideWaitingService("normal", answerTime);
    const auto waitWithAdvice = measureStartBesideWaitingService("advised", answerTime);
    CHECK(waitWithAdvice.count() <= (waitWithoutAdvice + allowance).count());
}
