#pragma once

#include "core/Clock.h"

#include <array>
#include <mutex>

namespace auburndoor {

/**
    Adapts the part of an accelerator pool's slots that long work may not fill to the demand of short work.

    A fixed part is too small when short work needs more slots than it, and then a burst of long work delays short work for as long
    as it runs. The demand is the arrival rate times the expected run time. Below full load long work keeps its own demand with a
    margin; above it short work comes first. The declared part is the lower limit. All members may be called from any thread.
*/
class ShortReserve
{
public:
    explicit ShortReserve(const Clock &clock);

    /** Counts a request once that is to be placed on the owned workers. */
    void recordArrival(bool isLong, Milliseconds expectedRunTime);

    /** The part that long work may not fill now, in percent. @param slots of the owned workers of the pool */
    int percent(long long slots, int declaredPercent) const;

private:
    struct Demand
    {
        /** Slots, averaged with exponential weights as of the last update. */
        double slots = 0;
        TimePoint lastUpdate;
    };

    double demand(std::size_t kind, TimePoint now) const;

    const Clock &clock_;
    mutable std::mutex mutex_;
    /** Short and long work. */
    std::array<Demand, 2> demands_;
};

} // namespace auburndoor
