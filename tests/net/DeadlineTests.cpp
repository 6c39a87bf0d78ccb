#include "fakes/ManualTimers.h"
#include "net/Deadline.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace auburndoor;

namespace {

class CountingTimers : public ManualTimers
{
public:
    void after(Milliseconds delay, std::function<void()> action) override
    {
        ++started;
        ManualTimers::after(delay, std::move(action));
    }

    int started = 0;
};

struct DeadlineFixture
{
    void setIn(Milliseconds time)
    {
        deadline->set(timers.now() + time);
    }

    CountingTimers timers;
    int expired = 0;
    std::optional<Deadline> deadline { std::in_place, timers, [this] { ++expired; } };
};

} // namespace

// Guards against a connection that is closed by the time limit of an exchange that has ended.
TEST_CASE("a deadline that was moved or cleared does not expire at its earlier time")
{
    DeadlineFixture fixture;
    fixture.setIn(Milliseconds(100));
    fixture.timers.advance(Milliseconds(50));
    fixture.setIn(Milliseconds(100));
    fixture.timers.advance(Milliseconds(99));
    CHECK(fixture.expired == 0);
    fixture.timers.advance(Milliseconds(1));
    CHECK(fixture.expired == 1);
    fixture.setIn(Milliseconds(10));
    fixture.deadline->clear();
    fixture.timers.advance(Milliseconds(1000));
    CHECK(fixture.expired == 1);
}

// Guards against a reply timeout that takes effect only at the end of the long wait for the connection's next request.
TEST_CASE("a deadline that was moved to an earlier time expires then, and once")
{
    DeadlineFixture fixture;
    fixture.setIn(Milliseconds(60000));
    fixture.setIn(Milliseconds(400));
    fixture.timers.advance(Milliseconds(399));
    CHECK(fixture.expired == 0);
    fixture.timers.advance(Milliseconds(1));
    CHECK(fixture.expired == 1);
    fixture.timers.advance(Milliseconds(100000));
    CHECK(fixture.expired == 1);
}

// Guards against an earlier timer that ends the deadline which was set after it was superseded.
TEST_CASE("a deadline can be set again after a superseded timer")
{
    DeadlineFixture fixture;
    fixture.setIn(Milliseconds(300));
    fixture.setIn(Milliseconds(100));
    fixture.timers.advance(Milliseconds(100));
    CHECK(fixture.expired == 1);
    fixture.setIn(Milliseconds(500));
    fixture.timers.advance(Milliseconds(499));
    CHECK(fixture.expired == 1);
    fixture.timers.advance(Milliseconds(1));
    CHECK(fixture.expired == 2);
}

// Guards against a timer for each exchange: they are the larger part of what an exchange would cost.
TEST_CASE("many exchanges within one time limit start few timers")
{
    DeadlineFixture fixture;
    for (int exchange = 0; exchange < 1000; ++exchange) {
        fixture.setIn(Milliseconds(400));
        fixture.timers.advance(Milliseconds(4));
        fixture.deadline->clear();
    }
    CHECK(fixture.timers.started <= 11);
    CHECK(fixture.expired == 0);
}

TEST_CASE("a destroyed deadline does not expire")
{
    DeadlineFixture fixture;
    fixture.setIn(Milliseconds(100));
    fixture.deadline.reset();
    fixture.timers.advance(Milliseconds(1000));
    CHECK(fixture.expired == 0);
}
