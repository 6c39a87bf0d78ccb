#pragma once

#include "core/Clock.h"
#include "ownership/OwnershipRows.h"
#include "ownership/ShardMap.h"

#include <map>
#include <vector>

namespace auburndoor {

/** The periods of instance leases and the limits on changes of shard ownership. */
struct OwnershipTiming
{
    /** Time between two renewals of the lease. */
    Milliseconds renewPeriod { 2000 };
    /** Time between two reads of all instance rows and shard rows. */
    Milliseconds pollPeriod { 1000 };
    /** An instance is considered dead once its row has been seen unchanged for this long. */
    Milliseconds leaseTime { 6000 };
    /** Live owners hand shards over to an instance only once it has been live for this long, so that a restart moves few shards. */
    Milliseconds stabilizationTime { 12'000 };
    /** A shard without a row is acquired only after this delay, so that instances that start together share the shards. */
    Milliseconds firstAcquisitionDelay { 2000 };
    /** The row of an instance that owns no shard is deleted once it has been unchanged for this long. */
    Milliseconds instanceRowRetentionTime { 600'000 };
    /** Most shards acquired after one poll; bounds the writes after the death of an owner. */
    std::size_t maximumAcquisitionsPerPoll = 16;
    /** Most shards handed over after one poll. */
    std::size_t maximumHandoversPerPoll = 2;
};

/** An instance row and when it changed, on the observing instance's steady clock. */
struct ObservedInstance
{
    InstanceRow row;
    /** The version of the table row. */
    long long version = 0;
    /** When the version was first seen; reset after a gap in the observation, see OwnershipObservation::observe(). */
    TimePoint unchangedSince;
    /** When the instance was first seen live with this incarnation, or seen live again after its lease had expired. */
    TimePoint liveSince;
};

/** A shard row and when it changed, on the observing instance's steady clock. */
struct ObservedShard
{
    ShardRow row;
    /** The version of the table row; 0 if the shard has no row yet. */
    long long version = 0;
    /** When the version was first seen. */
    TimePoint unchangedSince;
};

/** The input of one decision: the rows that the deciding instance has observed. */
struct OwnershipSnapshot
{
    TimePoint now;
    InstanceId self;
    long long selfIncarnation = 0;
    /** True if the deciding instance has begun a graceful shutdown. */
    bool isLeaving = false;
    std::map<InstanceId, ObservedInstance> instances;
    std::map<ShardId, ObservedShard> shards;
};

/** A shard to acquire, with the row versions that the transaction must check. */
struct ShardAcquisition
{
    ShardId shard;
    /** 0 if the shard row must be absent. */
    long long shardRowVersion = 0;
    Epoch newEpoch = 0;
    /** The present owner, whose instance row is checked; empty if the shard has no owner or a later process has the owner's id. */
    InstanceId checkedOwner;
    /** The version that the owner's instance row must have; 0 if it must be absent. */
    long long ownerRowVersion = 0;
    /** Since when the shard could have been acquired; the clock's maximum if unknown. */
    TimePoint availableSince = TimePoint::max();
};

/** A shard to hand over to a successor or to release. */
struct ShardHandover
{
    ShardId shard;
    /** Empty if there is no successor: the shard is released without an owner. */
    InstanceId successor;
    long long successorIncarnation = 0;
};

/** The result of one decision. */
struct OwnershipActions
{
    std::vector<ShardAcquisition> acquisitions;
    std::vector<ShardHandover> handovers;
    /** Instances whose rows are to be deleted. */
    std::vector<InstanceId> staleInstances;
};

/** Decides on changes of shard ownership. All members are pure functions of a snapshot. */
class OwnershipDecision
{
public:
    OwnershipDecision(const ShardMap &map, const OwnershipTiming &timing);

    /** Returns what the instance is to do after a poll; nothing if it is leaving. */
    OwnershipActions decide(const OwnershipSnapshot &snapshot) const;

    /** Returns the handovers of all shards that the instance owns, for a graceful shutdown. */
    std::vector<ShardHandover> decideRelease(const OwnershipSnapshot &snapshot) const;

    /** Returns whether the instance's row has been seen to change within the lease time. */
    bool isLive(const OwnershipSnapshot &snapshot, const ObservedInstance &instance) const;

private:
    std::vector<OwnerCandidate> findCandidates(const OwnershipSnapshot &snapshot, Milliseconds minimumLiveTime) const;
    bool canAcquire(const OwnershipSnapshot &snapshot, const ObservedShard &shard, ShardAcquisition &acquisition) const;
    void decideAcquisitions(const OwnershipSnapshot &snapshot, OwnershipActions &actions) const;
    void decideHandovers(const OwnershipSnapshot &snapshot, OwnershipActions &actions) const;
    void decideStaleInstances(const OwnershipSnapshot &snapshot, OwnershipActions &actions) const;

    const ShardMap &shardMap_;
    const OwnershipTiming timing_;
};

} // namespace auburndoor
