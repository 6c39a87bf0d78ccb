#pragma once

#include "core/Clock.h"
#include "core/Identifier.h"

#include <array>
#include <map>
#include <mutex>

namespace auburndoor {

class ShareAccounts;

/**
    Adapts the part of an accelerator pool's slots that long work may not fill to the demand of short work.

    A fixed part is too small when short work needs more slots than it, and then a burst of long work delays short work for as long
    as it runs. The demand is the arrival rate times the expected run time. Below full load long work keeps its own demand with a
    margin. Above it short work comes first, but only up to the fair share of each team, so that a team that floods the pool with
    short work does not take the room of other teams' long work. The declared part is the lower limit. All members may be called
    from any thread.
*/
class ShortReserve
{
public:
    /** @param shares read for the weights of the teams; outlives this object */
    ShortReserve(const Clock &clock, const ShareAccounts &shares);

    /** Counts a request once that is to be placed on the owned workers. */
    void recordArrival(const TeamId &team, bool isLong, Milliseconds expectedRunTime);

    /** The part that long work may not fill now, in percent. @param slots of the owned workers of the pool */
    int percent(long long slots, int declaredPercent) const;

private:
    /** Slots, averaged with exponential weights as of the last update. */
    struct Demand
    {
        double slots = 0;
        TimePoint lastUpdate;
    };

    /** Short and long work of one team, in slots. */
    using TeamDemand = std::array<double, 2>;

    static double current(const Demand &demand, std::size_t kind, TimePoint now);
    double shortDemandWithinShares(const std::map<TeamId, TeamDemand> &demands, double slots) const;

    const Clock &clock_;
    const ShareAccounts &shares_;
    mutable std::mutex mutex_;
    std::map<TeamId, std::array<Demand, 2>> demands_;
};

} // namespace auburndoor
