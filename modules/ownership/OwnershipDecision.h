#pragma once

#include "core/Clock.h"
#include "ownership/OwnershipRows.h"
#include "ownership/ShardMap.h"

#include <map>
#include <vector>

namespace auburndoor {

/** The periods of instance leases and shard ownership. */
struct OwnershipTiming
{
    /** How often an instance renews its row. */
    Milliseconds renewPeriod { 2000 };
    /** How often an instance reads all rows. */
    Milliseconds pollPeriod { 1000 };
    /** A row that has not changed for this long belongs to an instance that is taken for dead. */
    Milliseconds leaseTime { 6000 };
    /** An instance receives shards from living owners only after it has been live for this long, so that restarts move little. */
    Milliseconds stabilizationTime { 12'000 };
    /** A shard without a row is taken after this wait, so that instances that start together share the shards. */
    Milliseconds firstTakeDelay { 2000 };
    /** A row without a change for this long, of an instance without shards, is deleted. */
    Milliseconds forgetTime { 600'000 };
    /** Shards taken in one poll; bounds the writes of a takeover. */
    std::size_t takesPerPoll = 16;
    /** Shards handed over in one poll. */
    std::size_t handoversPerPoll = 2;
};

/** An instance row with what this observer has seen of it, on its own steady clock. */
struct SeenInstance
{
    InstanceRow row;
    long long version = 0;
    /** Since when the version has not changed, seen without a gap in the observation. */
    TimePoint unchangedSince;
    /** Since when the instance has been live with this incarnation. */
    TimePoint liveSince;
};

/** A shard row with what this observer has seen of it. */
struct SeenShard
{
    ShardRow row;
    /** 0 if there is no row yet. */
    long long version = 0;
    TimePoint unchangedSince;
};

/** What one instance knows when it decides. */
struct OwnershipSnapshot
{
    TimePoint now;
    InstanceId self;
    long long selfIncarnation = 0;
    /** True if this instance is shutting down. */
    bool isLeaving = false;
    std::map<InstanceId, SeenInstance> instances;
    std::map<ShardId, SeenShard> shards;
};

/** A shard to take. */
struct ShardTake
{
    ShardId shard;
    long long shardVersion = 0;
    Epoch newEpoch = 0;
    /** The owner whose row is checked; empty if the shard has no owner or its process has been replaced. */
    InstanceId checkedOwner;
    /** The version that the owner's row must have; 0 if it must be absent. */
    long long ownerVersion = 0;
    /** Since when it could be taken; the clock's maximum if that is not known. */
    TimePoint takeableSince = TimePoint::max();
};

/** A shard to hand over. */
struct ShardHandover
{
    ShardId shard;
    /** Empty: there is no successor, the shard is released. */
    InstanceId successor;
    long long successorIncarnation = 0;
};

/** What to do now. */
struct OwnershipActions
{
    std::vector<ShardTake> takes;
    std::vector<ShardHandover> handovers;
    /** Instances whose rows are deleted. */
    std::vector<InstanceId> forgotten;
};

/** The decisions on shard ownership: pure functions of a snapshot. */
class OwnershipDecision
{
public:
    OwnershipDecision(const ShardMap &map, const OwnershipTiming &timing);

    OwnershipActions decide(const OwnershipSnapshot &snapshot) const;

    /** Handovers of all own shards, for a graceful shutdown. */
    std::vector<ShardHandover> release(const OwnershipSnapshot &snapshot) const;

    /** True if the instance's row has changed within the lease time. */
    bool isLive(const OwnershipSnapshot &snapshot, const SeenInstance &instance) const;

private:
    std::vector<OwnerCandidate> candidates(const OwnershipSnapshot &snapshot, Milliseconds liveFor) const;
    bool isTakeable(const OwnershipSnapshot &snapshot, const SeenShard &shard, ShardTake &take) const;
    void decideTakes(const OwnershipSnapshot &snapshot, OwnershipActions &actions) const;
    void decideHandovers(const OwnershipSnapshot &snapshot, OwnershipActions &actions) const;
    void decideForgotten(const OwnershipSnapshot &snapshot, OwnershipActions &actions) const;

    const ShardMap &map_;
    const OwnershipTiming timing_;
};

} // namespace auburndoor
