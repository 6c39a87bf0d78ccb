#pragma once

#include "ownership/OwnershipAgent.h"

#include <condition_variable>
#include <thread>

namespace auburndoor {

/** Runs an OwnershipAgent on its own thread, the ownership thread. All members may be called from any thread. */
class OwnershipManager
{
public:
    OwnershipManager(const OwnershipOptions &options, TableService &table, ShardListener &listener, Clock &clock, Metrics &metrics);

    /** Joins the thread. Unless stop() was called, the shards are not released and the lease expires, as after a crash. */
    ~OwnershipManager();

    OwnershipManager(const OwnershipManager &) = delete;
    OwnershipManager &operator=(const OwnershipManager &) = delete;

    /** Sets the existing failure domains, each with its region. Shards of other domains are ignored. */
    void setDomains(const ShardMap::Domains &domains);

    /** Sets the callback that receives, on the ownership thread, the other instances after each poll. Call before start(). */
    void setInstancesListener(std::function<void(const std::vector<Member> &)> listener);

    /** Starts the ownership thread. */
    void start();

    /** Stops acquiring shards and announces it, so that peers hand none over; stop() releases those that the instance owns. */
    void beginLeaving();

    /**
        Joins the ownership thread, hands all shards over to successors and deletes the instance's row.

        @return false if a part of this failed or the timeout passed
    */
    bool stop(Milliseconds timeout);

    /** See the functions of the same names in OwnershipAgent. */
    std::map<ShardId, OwnedShard> ownedShards() const;
    std::optional<OwnedShard> ownedShard(const ShardId &shard) const;
    ShardId shardOf(const FailureDomainId &domain, const WorkerId &worker) const;
    bool isRegistered() const;
    bool isSuperseded() const;

private:
    void run();
    void stopThread();

    Clock &clock_;
    OwnershipAgent agent_;
    std::mutex mutex_;
    std::condition_variable condition_;
    std::optional<ShardMap::Domains> pendingDomains_;
    bool isLeaving_ = false;
    bool isStopping_ = false;
    std::thread thread_;
};

} // namespace auburndoor
