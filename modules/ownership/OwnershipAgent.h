#pragma once

#include "core/Clock.h"
#include "membership/Member.h"
#include "ownership/OwnershipDecision.h"
#include "ownership/OwnershipObservation.h"
#include "storage/TableService.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace auburndoor {

class Metrics;
class ShardListener;

/** A shard that this instance owns. */
struct OwnedShard
{
    Epoch epoch = 0;
    /** The version of the shard's row, to be checked in each transaction on the shard's state. */
    long long rowVersion = 0;

    bool operator==(const OwnedShard &other) const = default;
};

/** Who an instance is and how it takes part in ownership. */
struct OwnershipOptions
{
    InstanceId id;
    /** Higher than that of every earlier process with the same id. */
    long long incarnation = 0;
    std::string peerAddress;
    FailureDomainId failureDomain;
    RegionId region;
    int shardsPerDomain = 8;
    OwnershipMode mode = OwnershipMode::Sharded;
    OwnershipTiming timing;
    /** How long one exchange with the table may take. */
    Milliseconds tableTimeout { 1000 };
};

/**
    Renews the instance's lease and keeps its shards, step by step.

    step(), beginLeaving(), release() and setDomains() are called from one thread at a time; the accessors from any thread.
*/
class OwnershipAgent
{
public:
    OwnershipAgent(const OwnershipOptions &options, TableService &table, ShardListener &listener, Clock &clock, Metrics &metrics);

    /** The failure domains that exist. Shards of other domains are left alone. */
    void setDomains(const ShardMap::Domains &domains);

    /** Called after each read of the instance rows with the state of all instances but this one. */
    void setInstancesListener(std::function<void(const std::vector<Member> &)> listener);

    /** Does what is due. @return when to call again */
    TimePoint step();

    /** Takes no more shards and says so in the instance's row at the next step. */
    void beginLeaving();

    /** Hands all shards over to successors and deletes the instance's row. @return false if the deadline passed before the end */
    bool release(TimePoint deadline);

    /** The shards owned now, as far as this instance knows. */
    std::map<ShardId, OwnedShard> ownedShards() const;

    /** The ownership of one shard; empty if this instance does not own it. */
    std::optional<OwnedShard> ownedShard(const ShardId &shard) const;

    /** The shard of a worker. */
    ShardId shardOf(const FailureDomainId &domain, const WorkerId &worker) const;

    /** True while the instance's row is in the table with this incarnation, as far as this instance knows. */
    bool isRegistered() const;

    /** True once a later process with the same id has registered: this process owns nothing and never will again. */
    bool isSuperseded() const;

private:
    bool renew(TimePoint now);
    bool writeOwnRow(TimePoint deadline, bool &isConflict);
    void adoptOwnRow(const TableRow &row);
    void supersede();
    bool poll(TimePoint now);
    void reconcile();
    void reportInstances() const;
    OwnershipSnapshot snapshot(TimePoint now) const;
    void act(TimePoint now);
    void take(const ShardTake &order, TimePoint deadline);
    bool handOver(const ShardHandover &order, TimePoint deadline);
    bool deleteRow(const std::string &key, long long version, TimePoint deadline);
    CommitResult commit(const Transaction &transaction, const std::string &value, TimePoint deadline);
    void setOwned(const ShardId &shard, const OwnedShard &owned);
    void dropOwned(const ShardId &shard);

    const OwnershipOptions options_;
    TableService &table_;
    ShardListener &listener_;
    Clock &clock_;
    Metrics &metrics_;
    std::function<void(const std::vector<Member> &)> instancesListener_;

    TimePoint nextRenewal_;
    TimePoint nextPoll_;
    /** Whether an exchange with the table has failed since the last successful poll. */
    bool hasGap_ = false;
    OwnershipObservation observation_;
    InstanceRow ownRow_;
    long long ownVersion_ = 0;

    mutable std::mutex mutex_;
    ShardMap map_;
    std::map<ShardId, OwnedShard> owned_;
    bool isRegistered_ = false;
    bool isSuperseded_ = false;
};

} // namespace auburndoor
