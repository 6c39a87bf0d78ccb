#include "dispatch/OwnerFixture.h"
#include "fakes/JobIds.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

// Guards against a takeover that makes old work new: a new owner counts the objective of each inherited job from the takeover, so
// that a backlog past its final deadline goes before the jobs that come after the takeover, and makes them late as well.
TEST_CASE("a backlog past its final deadline does not go before new jobs after a takeover")
{
    // Three times the estimate of 3 s and the allowance of the queue; the final deadline is three times that.
    constexpr Milliseconds objective { 9500 };
    constexpr int burst = 40;
    const auto body = jobBody(1, 2000, R"(,"estimateMs":3000)");
    const bool hasTakeover = GENERATE(false, true);
    CAPTURE(hasTakeover);
    OwnerFixture cell;
    cell.addWorker("w1", 2);
    cell.plan = [](const TaskName &, std::int64_t) { return SimulatedWork { Milliseconds(2000), RunOutcome::Done }; };
    cell.takeOver();
    for (int number = 0; number < burst; ++number) {
        REQUIRE(cell.submit(jobIdOf(number), body) == ClientResult::Outcome::Accepted);
    }
    cell.timers.advance(objective * 3);
    if (hasTakeover) {
        cell.takeOver();
    }
    for (int number = burst; number < burst + 2; ++number) {
        REQUIRE(cell.submit(jobIdOf(number), body) == ClientResult::Outcome::Accepted);
    }
    cell.timers.advance(objective);
    CHECK(cell.stage(jobIdOf(burst)) == JobStage::Completed);
    CHECK(cell.stage(jobIdOf(burst + 1)) == JobStage::Completed);
    CHECK(cell.violations().empty());
}
