#pragma once

#include "ownership/OwnershipDecision.h"
#include "storage/TableService.h"

namespace auburndoor {

/**
    The instance rows and shard rows that one instance has read, each with the time of its last change on that instance's steady
    clock.

    Not thread-safe.
*/
class OwnershipObservation
{
public:
    explicit OwnershipObservation(const OwnershipTiming &timing);

    /**
        Records a read of all shard rows and a read of all instance rows that was made after it.

        With this order of the reads, an instance row whose incarnation differs from that in a shard row is that of a later process.
        A malformed row changes nothing in the record. If hasObservationGap is true, or more than half a lease time has passed since
        the previous call, the lease times of all instances start again.
        @param shards            the existing shards; rows of other shards are ignored
        @param hasObservationGap true if an exchange with the table has failed since the previous call
        @return                  the keys of malformed rows
    */
    std::vector<std::string> observe(const std::vector<ShardId> &shards,
                                     const std::vector<TableRow> &shardRows,
                                     const std::vector<TableRow> &instanceRows,
                                     TimePoint now,
                                     bool hasObservationGap);

    const std::map<InstanceId, ObservedInstance> &instances() const;
    const std::map<ShardId, ObservedShard> &shards() const;

private:
    void observeShard(const ShardId &id, const TableRow *row, TimePoint now);
    void observeInstance(const InstanceId &id, const InstanceRow &row, long long version, TimePoint now);

    const OwnershipTiming timing_;
    TimePoint lastObserved_;
    std::map<InstanceId, ObservedInstance> instances_;
    std::map<ShardId, ObservedShard> shards_;
};

} // namespace auburndoor
