#pragma once

#include "ownership/OwnershipDecision.h"
#include "storage/TableService.h"

namespace auburndoor {

/**
    What one instance has seen of the rows of instances and shards, with the moments of the last changes on its own steady clock.

    Not thread-safe.
*/
class OwnershipObservation
{
public:
    explicit OwnershipObservation(const OwnershipTiming &timing);

    /**
        Takes in a read of all shard rows and, made after it, a read of all instance rows.

        The order matters: an instance row that is newer than the shard row can only be that of the same or a later process.
        Malformed rows are left out.
        @param shards    the shards that exist; rows of others are ignored
        @param hasGap    whether an exchange with the table has failed since the previous call
        @return          keys of malformed rows
    */
    std::vector<std::string> observe(const std::vector<ShardId> &shards,
                                     const std::vector<TableRow> &shardRows,
                                     const std::vector<TableRow> &instanceRows,
                                     TimePoint now,
                                     bool hasGap);

    const std::map<InstanceId, SeenInstance> &instances() const;
    const std::map<ShardId, SeenShard> &shards() const;

private:
    void observeShard(const ShardId &id, const TableRow *row, TimePoint now);
    void observeInstance(const InstanceId &id, const InstanceRow &row, long long version, TimePoint now);

    const OwnershipTiming timing_;
    TimePoint lastObserved_;
    std::map<InstanceId, SeenInstance> instances_;
    std::map<ShardId, SeenShard> shards_;
};

} // namespace auburndoor
