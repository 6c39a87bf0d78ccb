#include "admission/ShortReserve.h"
#include "core/ManualClock.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace auburndoor;

namespace {

constexpr long long slots = 104;
constexpr int declared = 25;

/** Records arrivals of short and long work for 40 s, with the given demand in slots. @return the reserved share in percent */
int measurePercent(double shortSlots, double longSlots)
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

TEST_CASE("the reserved share follows the demand of short work and never falls below the declared share", "[admission]")
{
    // Guards against a share that is smaller than the demand of short work: a burst of long work then delays short work.
    CHECK(measurePercent(0, 0) == declared);
    CHECK(measurePercent(10, 10) == declared);
    const auto busy = measurePercent(43, 30);
    CHECK(busy >= 50);
    CHECK(busy <= 60);
}

TEST_CASE("below full load long work keeps its own demand", "[admission]")
{
    // Guards against a margin for short work that lets the queue of long work grow without limit although there is capacity for it.
    const auto percent = measurePercent(52, 36);
    CHECK((100 - percent) * slots / 100 >= 36);
}

TEST_CASE("above full load short work comes first, and long work keeps a tenth of the slots", "[admission]")
{
    // Guards against long work that fills the pool at a peak of short work, and against its starvation.
    CHECK(measurePercent(130, 90) == 90);
}

TEST_CASE("the reserved share falls back after the demand has ended", "[admission]")
{
    // Guards against a pool that stays reserved for short work after a peak.
    ManualClock clock;
    ShortReserve reserve(clock);
    reserve.recordArrival(false, Milliseconds(1'000'000));
    CHECK(reserve.percent(slots, declared) == 90);
    clock.advance(Milliseconds(20'000));
    CHECK(reserve.percent(slots, declared) == declared);
}

TEST_CASE("the reserved share is between the declared one and 90% for any arrivals", "[admission]")
{
    // Guards against a negative share and against one that leaves no slots for long work.
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
