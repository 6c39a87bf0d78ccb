#pragma once

#include "ownership/ShardMap.h"
#include "storage/InstanceDirectory.h"

#include <map>
#include <vector>

namespace auburndoor {

/** The workers of the cell as the platform lists them, grouped into shards. Not thread-safe. */
class WorkerList
{
public:
    explicit WorkerList(int shardsPerDomain);

    /** Enters a change. @return true if a failure domain appeared */
    bool update(const ListedWorker &worker);

    ShardId shardOf(const ListedWorker &worker) const;

    /** The workers of a shard that are not gone. */
    std::vector<ListedWorker> workersOf(const ShardId &shard) const;

    /** The failure domains of all workers that were ever listed. */
    const std::map<FailureDomainId, RegionId> &domains() const;

    /** Sum of the capacity of all workers that are not gone. */
    const Resources &capacity() const;

    /** The workers of a pool that are not gone. */
    std::vector<ListedWorker> pool(const ServiceId &service) const;

private:
    ShardMap map_;
    std::map<WorkerId, ListedWorker> workers_;
    std::map<FailureDomainId, RegionId> domains_;
    Resources capacity_;
};

} // namespace auburndoor
