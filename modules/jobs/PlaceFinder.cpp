#include "jobs/PlaceFinder.h"

#include "core/RandomId.h"

#include <algorithm>

namespace auburndoor {

namespace {

/** How long a full instance is not asked again, so that waiting jobs do not ask every peer; delays the use of freed capacity. */
constexpr Milliseconds refusalLifetime { 500 };

} // namespace

PlaceFinder::PlaceFinder(OwnerGateway &gateway, Clock &clock) : gateway_(gateway), clock_(clock)
{
}

std::vector<HeldPlace> PlaceFinder::find(const HoldRequest &request)
{
    auto instances = gateway_.instances();
    std::erase(instances, gateway_.self());
    if (!instances.empty()) {
        // Each search begins with a random peer, which spreads the load.
        const auto first = randomBelow(static_cast<long long>(instances.size()));
        std::rotate(instances.begin(), instances.begin() + first, instances.end());
    }
    instances.insert(instances.begin(), gateway_.self());
    std::vector<HeldPlace> places;
    for (const auto &instance : instances) {
        const auto missingCount = request.count - static_cast<int>(places.size());
        if (missingCount <= 0) {
            break;
        }
        if (wasFullRecently(instance, request)) {
            continue;
        }
        auto remainingRequest = request;
        remainingRequest.count = missingCount;
        auto found = gateway_.hold(instance, remainingRequest);
        if (static_cast<int>(found.size()) < missingCount) {
            refusals_[{ instance, request.service }] = { request.need, clock_.now() };
        }
        places.insert(places.end(), found.begin(), found.end());
    }
    return places;
}

void PlaceFinder::releaseUnused(const std::vector<HeldPlace> &places)
{
    gateway_.release(places);
    for (const auto &place : places) {
        std::erase_if(refusals_, [&](const auto &entry) { return entry.first.first == place.owner; });
    }
}

bool PlaceFinder::wasFullRecently(const InstanceId &instance, const HoldRequest &request) const
{
    const auto found = refusals_.find({ instance, request.service });
    return found != refusals_.end() && found->second.need.fitsIn(request.need)
           && clock_.now() < found->second.time + refusalLifetime;
}

} // namespace auburndoor
