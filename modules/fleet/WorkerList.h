#pragma once

#include "ownership/ShardMap.h"
#include "storage/InstanceDirectory.h"

#include <map>
#include <vector>

namespace auburndoor {

/** The workers of the cell as the platform lists them, mapped to shards. Not thread-safe. */
class WorkerList
{
public:
    explicit WorkerList(int shardsPerDomain);

    /** Applies one change of the platform's list. @return true if its failure domain is new */
    bool update(const ListedWorker &worker);

    ShardId shardOf(const ListedWorker &worker) const;

    /** The shard of a worker as it is listed now, before a change; an unreadable entry of it has no failure domain. */
    ShardId shardBefore(const ListedWorker &change) const;

    /** The workers of a shard that are not gone. */
    std::vector<ListedWorker> workersOf(const ShardId &shard) const;

    /** The failure domains of all workers that were ever listed, with their regions. */
    const std::map<FailureDomainId, RegionId> &domains() const;

    /** The sum of the capacity of all workers that are not gone. */
    const Resources &capacity() const;

    /** The workers of a pool that are not gone. */
    std::vector<ListedWorker> pool(const ServiceId &service) const;

private:
    ShardMap shardMap_;
    std::map<WorkerId, ListedWorker> workers_;
    std::map<FailureDomainId, RegionId> domains_;
    Resources capacity_;
};

} // namespace auburndoor
