#include "jobs/PlaceFinder.h"

#include "core/RandomId.h"

#include <algorithm>

namespace auburndoor {

namespace {

/** Keeps many waiting jobs from asking every peer in turn; room that appears is found this much later. */
constexpr Milliseconds refusalMemory { 500 };

} // namespace

PlaceFinder::PlaceFinder(OwnerGateway &gateway, Clock &clock) : gateway_(gateway), clock_(clock)
{
}

std::vector<HeldPlace> PlaceFinder::find(const HoldRequest &request)
{
    auto instances = gateway_.instances();
    std::erase(instances, gateway_.self());
    if (!instances.empty()) {
        // Each search begins with another peer, so that they share the load.
        const auto first = randomBelow(static_cast<long long>(instances.size()));
        std::rotate(instances.begin(), instances.begin() + first, instances.end());
    }
    instances.insert(instances.begin(), gateway_.self());
    std::vector<HeldPlace> places;
    for (const auto &instance : instances) {
        const auto missing = request.count - static_cast<int>(places.size());
        if (missing <= 0) {
            break;
        }
        if (isKnownFull(instance, request)) {
            continue;
        }
        auto rest = request;
        rest.count = missing;
        auto found = gateway_.hold(instance, rest);
        if (static_cast<int>(found.size()) < missing) {
            refusals_[{ instance, request.service }] = { request.need, clock_.now() };
        }
        places.insert(places.end(), found.begin(), found.end());
    }
    return places;
}

void PlaceFinder::giveBack(const std::vector<HeldPlace> &places)
{
    gateway_.release(places);
    for (const auto &place : places) {
        std::erase_if(refusals_, [&](const auto &entry) { return entry.first.first == place.owner; });
    }
}

bool PlaceFinder::isKnownFull(const InstanceId &instance, const HoldRequest &request) const
{
    const auto found = refusals_.find({ instance, request.service });
    return found != refusals_.end() && found->second.need.fitsIn(request.need) && clock_.now() < found->second.time + refusalMemory;
}

} // namespace auburndoor
