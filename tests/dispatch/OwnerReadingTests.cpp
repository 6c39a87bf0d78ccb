#include "dispatch/OwnerFixture.h"

#include <catch2/catch.hpp>

using namespace auburndoor;

namespace {

// The time from which followers look for a process that reaches the store (LeadershipTiming::storeStallLimit).
constexpr Milliseconds storeStallLimit { 450 };

} // namespace

// Guards against an owner that serves nobody and is not replaced: the store does not answer it while it reads its tables, and it
// has nothing to write that could stall.
TEST_CASE("an owner that cannot read its tables reports that the store does not answer it", "[unread-tables]")
{
    OwnerFixture cell;
    cell.cutOff(1, {}, true);
    cell.takeOver();
    cell.timers.advance(storeStallLimit);
    CHECK_FALSE(cell.owner->isReady());
    CHECK(cell.owner->storeStallDuration() >= storeStallLimit);
    cell.heal();
    // A reading without a reply ends after 1.5 s, and is repeated.
    cell.timers.advance(Milliseconds(2000));
    CHECK(cell.owner->isReady());
    CHECK(cell.owner->storeStallDuration() == Milliseconds(0));
}
