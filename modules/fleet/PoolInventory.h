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

/** The size of one pool over the whole cell, whoever owns its workers. */
struct PoolCapacity
{
    /** The different capacities in the pool, each with the number of workers that have it. */
    std::vector<std::pair<Resources, int>> capacities;

    /** How many tasks of the need all workers of the pool hold when they are empty. */
    long long places(const Resources &need) const;

    /** True if an empty worker of the pool can hold the need. */
    bool canHold(const Resources &need) const;

    /** The capacity that comes nearest to a need that fits no worker, for error messages. */
    std::string nearestFit(const Resources &need) const;
};

/** What this instance owns of one pool. */
struct OwnedPool
{
    long long slots = 0;
    /** Tasks that are expected to run long. */
    long long longTasks = 0;
};

/** How often a need fits in a capacity. */
long long placesIn(const Resources &capacity, const Resources &need);

/** The sizes of all pools, as of the last update. Any thread. */
class PoolInventory
{
public:
    /** Replaces the size of a pool. */
    void update(const ServiceId &service, const std::vector<ListedWorker> &workers);

    /** The size of a pool; empty if none has been counted yet. */
    std::shared_ptr<const PoolCapacity> pool(const ServiceId &service) const;

    /** Replaces what this instance owns of a pool. */
    void updateOwned(const ServiceId &service, const OwnedPool &owned);

    /** What this instance owns of a pool. */
    OwnedPool owned(const ServiceId &service) const;

private:
    mutable std::mutex mutex_;
    std::map<ServiceId, OwnedPool> owned_;
    std::map<ServiceId, std::shared_ptr<const PoolCapacity>> pools_;
};

} // namespace auburndoor
