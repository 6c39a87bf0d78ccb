#include "dispatch/OwnerFixture.h"
#include "dispatch/ServiceOutlook.h"
#include "fakes/JobIds.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

// Guards against an end that is taken for later than what goes before the job makes it.
TEST_CASE("the earliest end counts only what surely goes before a job")
{
    constexpr Milliseconds allowed { 2000 };
    constexpr Milliseconds longSlack { 5000 };
    ServiceOutlook outlook(1000);
    CHECK(ServiceOutlook().earliestEnd(2, 100, allowed) == Milliseconds(0));
    // A larger key, too little slack, late, and less urgent.
    outlook.add({ 2, 1000, longSlack, 4'000'000 });
    outlook.add({ 2, 60, Milliseconds(1500), 4'000'000 });
    outlook.add({ 2, 10, Milliseconds(-1), 4'000'000 });
    outlook.add({ 3, 10, longSlack, 4'000'000 });
    CHECK(outlook.earliestEnd(2, 250, allowed) == Milliseconds(0));
    outlook.add({ 2, 60, longSlack, 3'000'000 });
    CHECK(outlook.earliestEnd(2, 250, allowed) == Milliseconds(3000));
    outlook.add({ 0, 0, Milliseconds(-1), 1'000'000 });
    CHECK(outlook.earliestEnd(2, 250, allowed) == Milliseconds(4000));
    // Its priority keeps up to half of the room, whatever goes before.
    outlook.add({ 0, 0, longSlack, 90'000'000 });
    CHECK(outlook.earliestEnd(2, 250, allowed) == Milliseconds(6000));
}

// Guards against jobs that wait for nothing, and against refusals while workers are idle or of jobs that are known.
TEST_CASE("a job behind work that takes the room for longer than it has is turned away, and only then")
{
    OwnerFixture cell;
    cell.addWorker("w1", 8);
    cell.takeOver();
    // The large job has 6 s until its end has no value. The small ones take 150 s together by their estimates.
    const auto large = jobBody(400, 2000);
    const auto small = jobBody(1, 2000, R"(,"estimateMs":3000)");
    const bool isTaken = GENERATE(true, false);
    if (isTaken) {
        for (int number = 0; number < 200; ++number) {
            REQUIRE(cell.submit(jobIdOf(number), small) == ClientResult::Outcome::Accepted);
        }
    }
    cell.timers.advance(Milliseconds(400));
    const auto expected = isTaken ? ClientResult::Outcome::Refused : ClientResult::Outcome::Accepted;
    CHECK(cell.submit("00000000000000bb", large) == expected);
    CHECK(cell.submit("00000000000000cc", jobBody(1, 2000), "urgent") == ClientResult::Outcome::Accepted);
    CHECK(cell.submit(jobIdOf(1), small) == ClientResult::Outcome::Accepted);
    cell.timers.advance(Milliseconds(40000));
    CHECK(cell.submit("00000000000000dd", large) == ClientResult::Outcome::Accepted);
    for (const auto &start : cell.starts) {
        CHECK((!isTaken || start.task.job != "00000000000000bb"));
    }
    CHECK(cell.violations().empty());
}
