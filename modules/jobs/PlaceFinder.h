#pragma once

#include "jobs/OwnerGateway.h"

#include <map>
#include <string>

namespace auburndoor {

/** Finds places for independent tasks: on this instance first, then at its peers. One thread. */
class PlaceFinder
{
public:
    /** @param gateway and clock must outlive the finder */
    PlaceFinder(OwnerGateway &gateway, Clock &clock);

    /** Up to as many places as the request wants. Instances that had no room a moment ago are not asked again. */
    std::vector<HeldPlace> find(const HoldRequest &request);

    /** Gives places back that were found but not needed. */
    void giveBack(const std::vector<HeldPlace> &places);

private:
    struct Refusal
    {
        Resources need;
        TimePoint time;
    };

    bool isKnownFull(const InstanceId &instance, const HoldRequest &request) const;

    OwnerGateway &gateway_;
    Clock &clock_;
    std::map<std::pair<InstanceId, ServiceId>, Refusal> refusals_;
};

} // namespace auburndoor
