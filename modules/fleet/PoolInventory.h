#pragma once

#include "core/Identifier.h"
#include "core/Resources.h"
#include "storage/InstanceDirectory.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace auburndoor {

/** The capacity of one service's pool in the whole cell, whichever instances own its workers. */
struct PoolCapacity
{
    /** The different capacities in the pool, each with the number of workers that have it. */
    std::vector<std::pair<Resources, int>> capacities;

    /** The number of tasks with this need that the pool holds when all its workers are empty. */
    long long places(const Resources &need) const;

    /** True if an empty worker of the pool can hold the need. */
    bool canHold(const Resources &need) const;

    /**
        Text for an error message about a need that fits no worker: the capacity of which the need takes the smallest dominant
        share.
    */
    std::string nearestFit(const Resources &need) const;
};

/** The part of one pool that this instance owns. */
struct OwnedPool
{
    /** Slots of the owned workers, used and free. */
    long long slots = 0;
    /** Tasks on the owned workers that are expected to run long. */
    long long longTasks = 0;
};

/** Returns how many tasks with this need fit into the capacity; 1 if the need is zero in each resource. */
long long countPlaces(const Resources &capacity, const Resources &need);

/** The capacity of each pool and the part of it that this instance owns, as of the last update. Thread-safe. */
class PoolInventory
{
public:
    /** Replaces the capacity of a pool by that of the given workers. */
    void update(const ServiceId &service, const std::vector<ListedWorker> &workers);

    /** The capacity of a pool; null before its first update. */
    std::shared_ptr<const PoolCapacity> pool(const ServiceId &service) const;

    /** Replaces the part of a pool that this instance owns. */
    void updateOwned(const ServiceId &service, const OwnedPool &owned);

    /** The part of a pool that this instance owns; all zero before its first update. */
    OwnedPool owned(const ServiceId &service) const;

private:
    mutable std::mutex mutex_;
    std::map<ServiceId, OwnedPool> owned_;
    std::map<ServiceId, std::shared_ptr<const PoolCapacity>> pools_;
};

} // namespace auburndoor
