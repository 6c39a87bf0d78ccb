#include "admission/ShortReserve.h"
#include "core/ManualClock.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace auburndoor;

namespace {

constexpr long long slots = 104;
constexpr int declared = 25;

/** Arrivals of both kinds for 40 s. @param shortSlots and longSlots the demand, in slots */
int percentUnder(double shortSlots, double longSlots)
{
    ManualClock clock;
    ShortReserve reserve(clock);
    constexpr int stepsPerSecond = 10;
    for (int step = 0; step < 40 * stepsPerSecond; ++step) {
        clock.advance(Milliseconds(1000 / stepsPerSecond));
        reserve.recordArrival(false, Milliseconds(static_cast<int>(shortSlots * 1000 / stepsPerSecond)));
        reserve.recordArrival(true, Milliseconds(static_cast<int>(longSlots * 1000 / stepsPerSecond)));
    }
    return reserve.percent(slots, declared);
}

} // namespace

TEST_CASE("the part for short work follows its demand and never falls below the declared part", "[admission]")
{
    // Guards against a fixed part that is smaller than what short work needs: a burst of long work then delays short work.
    CHECK(percentUnder(0, 0) == declared);
    CHECK(percentUnder(10, 10) == declared);
    const auto busy = percentUnder(43, 30);
    CHECK(busy >= 50);
    CHECK(busy <= 60);
}

TEST_CASE("below full load long work keeps its own demand", "[admission]")
{
    // Guards against a margin for short work that makes the queue of long work grow without end although there is room for it.
    const auto percent = percentUnder(52, 36);
    CHECK((100 - percent) * slots / 100 >= 36);
}

TEST_CASE("above full load short work comes first, and long work keeps a tenth", "[admission]")
{
    // Guards against long work that fills the pool at the peak of a swing, and against its starvation.
    CHECK(percentUnder(130, 90) == 90);
}

TEST_CASE("the part falls back after the demand has gone", "[admission]")
{
    // Guards against a pool that stays closed to long work after a peak.
    ManualClock clock;
    ShortReserve reserve(clock);
    reserve.recordArrival(false, Milliseconds(1'000'000));
    CHECK(reserve.percent(slots, declared) == 90);
    clock.advance(Milliseconds(20'000));
    CHECK(reserve.percent(slots, declared) == declared);
}

TEST_CASE("the part is between the declared one and 90% for any arrivals", "[admission]")
{
    // Guards against a negative part or one that shuts long work out.
    const bool holds = rc::check([] {
        ManualClock clock;
        ShortReserve reserve(clock);
        const auto arrivals = *rc::gen::inRange(0, 50);
        for (int index = 0; index < arrivals; ++index) {
            reserve.recordArrival(*rc::gen::arbitrary<bool>(), Milliseconds(*rc::gen::inRange(0, 100'000)));
            clock.advance(Milliseconds(*rc::gen::inRange(0, 3000)));
        }
        const auto percent = reserve.percent(*rc::gen::inRange(0, 200), declared);
        RC_ASSERT(percent >= declared);
        RC_ASSERT(percent <= 90);
    });
    CHECK(holds);
}
