#include "fleet/PoolInventory.h"

#include <algorithm>
#include <limits>

namespace auburndoor {

long long countPlaces(const Resources &capacity, const Resources &need)
{
    auto places = std::numeric_limits<long long>::max();
    const auto applyLimit = [&places](long long available, long long needed) {
        if (needed > 0) {
            places = std::min(places, available / needed);
        }
    };
    applyLimit(capacity.milliCores, need.milliCores);
    applyLimit(capacity.memoryMiB, need.memoryMiB);
    applyLimit(capacity.accelerators, need.accelerators);
    applyLimit(capacity.slots, need.slots);
    applyLimit(capacity.connections, need.connections);
    return places == std::numeric_limits<long long>::max() ? 1 : places;
}

long long PoolCapacity::places(const Resources &need) const
{
    long long sum = 0;
    for (const auto &[capacity, count] : capacities) {
        sum += countPlaces(capacity, need) * count;
    }
    return sum;
}

bool PoolCapacity::canHold(const Resources &need) const
{
    return std::any_of(capacities.begin(), capacities.end(), [&](const auto &entry) { return need.fitsIn(entry.first); });
}

std::string PoolCapacity::nearestFit(const Resources &need) const
{
    if (capacities.empty()) {
        return "the pool has no workers";
    }
    const auto nearest = std::min_element(capacities.begin(), capacities.end(), [&](const auto &left, const auto &right) {
        return dominantShare(need, left.first) < dominantShare(need, right.first);
    });
    return "the largest worker of the pool has " + nearest->first.text();
}

void PoolInventory::update(const ServiceId &service, const std::vector<ListedWorker> &workers)
{
    auto poolCapacity = std::make_shared<PoolCapacity>();
    for (const auto &worker : workers) {
        const auto matchingEntry = std::find_if(poolCapacity->capacities.begin(),
                                                poolCapacity->capacities.end(),
                                                [&](const auto &entry) { return entry.first == worker.capacity; });
        if (matchingEntry != poolCapacity->capacities.end()) {
            ++matchingEntry->second;
        } else {
            poolCapacity->capacities.emplace_back(worker.capacity, 1);
        }
    }
    const std::lock_guard lock(mutex_);
    pools_[service] = std::move(poolCapacity);
}

std::shared_ptr<const PoolCapacity> PoolInventory::pool(const ServiceId &service) const
{
    const std::lock_guard lock(mutex_);
    const auto found = pools_.find(service);
    return found == pools_.end() ? nullptr : found->second;
}

void PoolInventory::updateOwned(const ServiceId &service, const OwnedPool &owned)
{
    const std::lock_guard lock(mutex_);
    owned_[service] = owned;
}

OwnedPool PoolInventory::owned(const ServiceId &service) const
{
    const std::lock_guard lock(mutex_);
    const auto found = owned_.find(service);
    return found == owned_.end() ? OwnedPool() : found->second;
}

} // namespace auburndoor
