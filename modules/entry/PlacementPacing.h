#pragma once

#include "core/Clock.h"

#include <chrono>

namespace auburndoor {

/**
    When the owner begins its next round of placement.

    Changes close together share one round, and placement leaves at least half of the event loop's time to the rest of the process
    while rounds are short. Pure functions; any thread.
*/
class PlacementPacing
{
public:
    /** Returns the delay before the next round. lastRound is the duration of the last one. */
    static Milliseconds computeDelay(std::chrono::microseconds lastRound);

    /** The delay before the first round, and the shortest one. */
    static constexpr Milliseconds minDelay { 3 };
    /** The longest delay. */
    static constexpr Milliseconds maxDelay { 60 };
};

} // namespace auburndoor
