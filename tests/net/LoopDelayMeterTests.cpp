#include "fakes/ManualTimers.h"
#include "net/LoopDelayMeter.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

TEST_CASE("the delay of a loop that was busy is seen for one to two seconds")
{
    ManualTimers timers;
    LoopDelayMeter meter(timers);
    meter.start();
    timers.advance(Milliseconds(500));
    CHECK(meter.recentDelay() == Milliseconds(0));
    // Nothing runs for a while, as while one action takes long.
    timers.suspend(Milliseconds(400));
    timers.advance(Milliseconds(100));
    CHECK(meter.recentDelay() >= Milliseconds(350));
    CHECK(meter.recentDelay() <= Milliseconds(400));
    timers.advance(Milliseconds(900));
    CHECK(meter.recentDelay() >= Milliseconds(350));
    timers.advance(Milliseconds(2500));
    CHECK(meter.recentDelay() == Milliseconds(0));
}
