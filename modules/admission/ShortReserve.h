#pragma once

#include "core/Clock.h"

#include <array>
#include <mutex>

namespace auburndoor {

/**
    Adapts the share of an accelerator pool's slots that is reserved for short work to the demand of short work.

    With a fixed share that is smaller than this demand, a burst of long work delays short work until the long work ends. The demand
    in slots is the arrival rate times the expected run time. If the demand of both kinds is below the number of slots, long work
    keeps its own demand with a margin; otherwise short work comes first. The declared share is the lower limit.

    All members may be called from any thread.
*/
class ShortReserve
{
public:
    explicit ShortReserve(const Clock &clock);

    /** Adds a request to the demand. Call once for each request that is to be placed on the owned workers. */
    void recordArrival(bool isLong, Milliseconds expectedRunTime);

    /**
        The share of the slots that is reserved for short work now, in percent.

        @param slots           number of slots of the owned workers of the pool
        @param declaredPercent lower limit of the result, which is returned if slots is not above zero
    */
    int percent(long long slots, int declaredPercent) const;

private:
    /** Demand of short or of long work. */
    struct Demand
    {
        /** Slots in demand at the last update, as an exponentially weighted average. */
        double slots = 0;
        TimePoint lastUpdate;
    };

    /** The demand in slots, decayed from the last update until now. @param lengthIndex 0 for short work, 1 for long work */
    double demand(std::size_t lengthIndex, TimePoint now) const;

    const Clock &clock_;
    mutable std::mutex mutex_;
    /** Short work, then long work. */
    std::array<Demand, 2> demands_;
};

} // namespace auburndoor
