#include "dispatch/OwnerFixture.h"
#include "dispatch/ScarcityOrder.h"
#include "fakes/JobIds.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace auburndoor;

namespace {

constexpr TimePoint start { std::chrono::hours(1) };
constexpr Milliseconds slack { 2000 };

Resources cores(int count)
{
    return { std::int64_t(count) * 1000, 0, 0, 0, 0 };
}

ScarcityOrder::Reading fullService()
{
    ScarcityOrder::Reading reading;
    reading.waiting = reading.waitingWithoutRoom = cores(8);
    reading.capacity = cores(16);
    return reading;
}

std::int64_t keyOf(const ScarcityOrder &order, WorkAmount work, Milliseconds slackLeft)
{
    return order.keyOf("queue", { work, work, slackLeft, slack });
}

} // namespace

// Guards against an order that changes while there is room, or because of one task that is too large for any worker.
TEST_CASE("nothing is owed and no key counts while room is not scarce")
{
    ScarcityOrder order;
    order.noteJob("queue", 1000);
    order.noteDemand(2, 1000, start);
    auto reading = fullService();
    reading.free = cores(12);
    reading.capacity = cores(1000);
    order.update(start, reading);
    CHECK_FALSE(order.isScarce());
    CHECK_FALSE(order.isOwed(2));
    CHECK(keyOf(order, 5000, slack) == 0);
    order.update(start, fullService());
    CHECK(order.isScarce());
    order.update(start + std::chrono::seconds(2), reading);
    CHECK_FALSE(order.isScarce());
}

// Guards against one large job that makes many small ones late, and against large jobs that always come last.
TEST_CASE("little work goes first, and a larger job moves forward as its time runs out")
{
    ScarcityOrder order;
    order.noteJob("queue", 1000);
    order.update(start, fullService());
    CHECK(keyOf(order, 500, slack) < keyOf(order, 2000, slack));
    CHECK(keyOf(order, 2000, Milliseconds(100)) < keyOf(order, 1000, slack));
    CHECK(keyOf(order, 0, slack) == keyOf(order, 1000, slack));
}

// Guards against late work that never ends while room stays scarce, and against work that was done for nothing: a job that has
// begun stands behind others until it can be of no use any more.
TEST_CASE("late work keeps a turn until its final deadline, and work that has begun goes before other work")
{
    ScarcityOrder order;
    order.noteJob("queue", 1000);
    order.update(start, fullService());
    const auto late = [&](Milliseconds left) { return order.keyOf("queue", { 1000, 1000, left, slack, true }); };
    CHECK(late(slack) > keyOf(order, 1000, slack));
    CHECK(late(slack / 50) < keyOf(order, 1000, slack));
    CHECK(late(Milliseconds(-1)) > late(slack));
    CHECK(order.keyOf("queue", { 500, 5000, slack, slack }) < keyOf(order, 500, slack));
}

// Guards against a priority that starves below more urgent ones, and against a part that takes most of the room.
TEST_CASE("each priority is owed a part of the work that has come, until it was started")
{
    ScarcityOrder order;
    order.noteDemand(0, 600, start);
    order.noteStart(0, 600, 1, start);
    order.noteDemand(2, 600, start);
    order.update(start, fullService());
    CHECK_FALSE(order.isOwed(0));
    REQUIRE(order.isOwed(2));
    // Half of the room that was taken, in the proportion of what has come.
    order.noteStart(2, 149, 1, start);
    CHECK(order.isOwed(2));
    order.noteStart(2, 1, 1, start);
    CHECK_FALSE(order.isOwed(2));
    CHECK(order.isProtected(2));
    order.noteStop(2, 50, start);
    CHECK(order.isOwed(2));
    order.update(start + ScarcityOrder::window * 2, fullService());
    CHECK_FALSE(order.isOwed(2));
}

// Guards against stops of runs for work that gets its room soon enough by ends.
TEST_CASE("room is expected at the rate at which it was taken lately")
{
    ScarcityOrder order;
    CHECK_FALSE(order.willHaveRoom(0, 2000, Milliseconds(1000)));
    order.noteStart(2, 1000, 100'000, start);
    order.update(start, fullService());
    CHECK(order.willHaveRoom(0, 2000, Milliseconds(1000)));
    CHECK_FALSE(order.willHaveRoom(0, 2000, Milliseconds(300)));
    auto reading = fullService();
    reading.waitingRoom[0] = 20'000;
    order.update(start, reading);
    CHECK_FALSE(order.willHaveRoom(0, 2000, Milliseconds(1000)));
}

// Guards against starvation: urgent work above the capacity, late and in time, took all room from a less urgent kind.
TEST_CASE("a less urgent kind keeps a part of the room under a flood of urgent work")
{
    constexpr int urgentPerSecond = 18;
    constexpr int normalPerSecond = 5;
    constexpr int seconds = 12;
    OwnerFixture cell;
    cell.addWorker("w1", 16);
    cell.takeOver();
    std::vector<std::string> normal;
    int number = 0;
    for (int second = 0; second < seconds; ++second) {
        const auto end = cell.timers.now() + std::chrono::seconds(1);
        for (int index = 0; index < urgentPerSecond; ++index) {
            REQUIRE(cell.submit(jobIdOf(++number), jobBody(1, 2000), "urgent") == ClientResult::Outcome::Accepted);
            if (index < normalPerSecond) {
                normal.push_back(jobIdOf(++number));
                REQUIRE(cell.submit(normal.back(), jobBody(1, 2000)) == ClientResult::Outcome::Accepted);
            }
        }
        cell.timers.advance(std::chrono::duration_cast<Milliseconds>(end - cell.timers.now()));
    }
    const auto completed = std::count_if(
        normal.begin(), normal.end(), [&](const auto &id) { return cell.stage(id) == JobStage::Completed; });
    CAPTURE(completed, normal.size());
    CHECK(completed * 4 >= static_cast<long>(normal.size()));
    CHECK(cell.violations().empty());
}

// Guards against amounts of work that leave their type, which clients can bring about by absurd estimates.
TEST_CASE("the work of a task is bounded")
{
    const Resources huge { 1'000'000'000'000, 0, 1'000'000'000'000, 0, 0 };
    CHECK(workOf(huge, std::chrono::hours(24 * 366)) == 1'000'000'000'000);
    CHECK(workOf(huge, Milliseconds(0)) == 0);
    CHECK(workOf({ 2000, 0, 1, 0, 0 }, Milliseconds(3)) == 30'000);
}
