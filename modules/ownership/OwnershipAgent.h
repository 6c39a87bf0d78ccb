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
    /** The version of the shard's row, which each transaction on the shard's state checks. */
    long long rowVersion = 0;

    bool operator==(const OwnedShard &other) const = default;
};

/** The identity of an instance and its settings for shard ownership. */
struct OwnershipOptions
{
    InstanceId id;
    /** Higher than the incarnation of every earlier process with the same id. */
    long long incarnation = 0;
    /** "ip:port" on which the instance accepts connections from peers. */
    std::string peerAddress;
    FailureDomainId failureDomain;
    RegionId region;
    int shardsPerDomain = 8;
    OwnershipMode mode = OwnershipMode::Sharded;
    OwnershipTiming timing;
    /** Time limit of one renewal of the lease, and of one poll with the changes that follow it. */
    Milliseconds tableTimeout { 1000 };
};

/**
    Renews the instance's lease, reads the rows of all instances and shards, and acquires, hands over and releases shards.

    step(), beginLeaving(), release(), setDomains() and setInstancesListener() are called from one thread at a time; the const
    members may be called from any thread.
*/
class OwnershipAgent
{
public:
    OwnershipAgent(const OwnershipOptions &options, TableService &table, ShardListener &listener, Clock &clock, Metrics &metrics);

    /** Sets the existing failure domains, each with its region. Shards of other domains are ignored. */
    void setDomains(const ShardMap::Domains &domains);

    /** Sets the callback that receives, after each poll, the state of all registered instances except this one. */
    void setInstancesListener(std::function<void(const std::vector<Member> &)> listener);

    /** Renews the lease and polls the table if they are due. Blocks on the table. @return when to call again */
    TimePoint step();

    /** Stops acquiring shards; the next step marks the instance as leaving in its row. */
    void beginLeaving();

    /** Hands all shards over to successors and deletes the instance's row. @return false if not all was done in time */
    bool release(TimePoint deadline);

    /** Returns the shards that this instance owns, as of its last exchange with the table. */
    std::map<ShardId, OwnedShard> ownedShards() const;

    /** Returns the ownership of one shard; empty if this instance does not own it. */
    std::optional<OwnedShard> ownedShard(const ShardId &shard) const;

    /** Returns the shard of a worker. */
    ShardId shardOf(const FailureDomainId &domain, const WorkerId &worker) const;

    /** Returns whether the table held the instance's row with this incarnation at the last exchange. */
    bool isRegistered() const;

    /** Returns true once a later process with the same id has registered; this process then owns no shard and acquires none. */
    bool isSuperseded() const;

private:
    bool renewLease(TimePoint now);
    bool writeOwnRow(TimePoint deadline, bool &isConflict);
    void adoptOwnRow(const TableRow &row);
    void markSuperseded();
    bool poll(TimePoint now);
    void reconcile(TimePoint readTime);
    void reportInstances() const;
    OwnershipSnapshot snapshot(TimePoint now) const;
    void executeActions(TimePoint now);
    void acquireShard(const ShardAcquisition &acquisition, TimePoint deadline);
    bool handOver(const ShardHandover &handover, TimePoint deadline);
    bool deleteRow(const std::string &key, long long version, TimePoint deadline);
    CommitResult commit(const Transaction &transaction, const std::string &value, TimePoint deadline);
    void recordOwnedShard(const ShardId &shard, const OwnedShard &owned);
    void removeOwnedShard(const ShardId &shard);

    const OwnershipOptions options_;
    TableService &table_;
    ShardListener &listener_;
    Clock &clock_;
    Metrics &metrics_;
    std::function<void(const std::vector<Member> &)> instancesListener_;

    TimePoint nextRenewal_;
    TimePoint nextPoll_;
    /** True if an exchange with the table has failed since the last successful poll. */
    bool hasObservationGap_ = false;
    OwnershipObservation observation_;
    InstanceRow ownRow_;
    long long ownRowVersion_ = 0;

    mutable std::mutex mutex_;
    ShardMap shardMap_;
    std::map<ShardId, OwnedShard> ownedShards_;
    bool isRegistered_ = false;
    bool isSuperseded_ = false;
};

} // namespace auburndoor
