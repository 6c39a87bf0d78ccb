#pragma once

#include "jobs/OwnerGateway.h"

#include <map>
#include <string>

namespace auburndoor {

/** Holds places for the tasks of batch and service jobs, on workers of this instance first, then of its peers. Not thread-safe. */
class PlaceFinder
{
public:
    /** @param gateway and clock must outlive the finder */
    PlaceFinder(OwnerGateway &gateway, Clock &clock);

    /** Holds up to as many places as requested. Skips instances that had too few for this or a smaller need in the last 500 ms. */
    std::vector<HeldPlace> find(const HoldRequest &request);

    /** Releases places that were found but not used; their instances are asked again at the next search. */
    void releaseUnused(const std::vector<HeldPlace> &places);

private:
    /** The need for which an instance last had too few places, and when. */
    struct Refusal
    {
        Resources need;
        TimePoint time;
    };

    bool wasFullRecently(const InstanceId &instance, const HoldRequest &request) const;

    OwnerGateway &gateway_;
    Clock &clock_;
    std::map<std::pair<InstanceId, ServiceId>, Refusal> refusals_;
};

} // namespace auburndoor
