#pragma once

#include "ownership/OwnershipAgent.h"

#include <condition_variable>
#include <thread>

namespace auburndoor {

/** Runs an OwnershipAgent on a thread of its own. All members may be called from any thread. */
class OwnershipManager
{
public:
    OwnershipManager(const OwnershipOptions &options, TableService &table, ShardListener &listener, Clock &clock, Metrics &metrics);

    /** Ends the thread without a release if stop() was not called: as after a crash, the lease expires. */
    ~OwnershipManager();

    OwnershipManager(const OwnershipManager &) = delete;
    OwnershipManager &operator=(const OwnershipManager &) = delete;

    /** The failure domains that exist. Shards of other domains are left alone. */
    void setDomains(const ShardMap::Domains &domains);

    /** Called on the ownership thread after each read of the instance rows. Set before start(). */
    void setInstancesListener(std::function<void(const std::vector<Member> &)> listener);

    void start();

    /** Takes no more shards, so that peers stop handing them over; stop() releases those it has. */
    void beginLeaving();

    /** Releases all shards to named successors, deletes the instance's row and ends the thread. @return false if the timeout passed
     */
    bool stop(Milliseconds timeout);

    std::map<ShardId, OwnedShard> ownedShards() const;
    std::optional<OwnedShard> ownedShard(const ShardId &shard) const;
    ShardId shardOf(const FailureDomainId &domain, const WorkerId &worker) const;
    bool isRegistered() const;
    bool isSuperseded() const;

private:
    void run();
    void endThread();

    Clock &clock_;
    OwnershipAgent agent_;
    std::mutex mutex_;
    std::condition_variable condition_;
    std::optional<ShardMap::Domains> newDomains_;
    bool isLeaving_ = false;
    bool isEnding_ = false;
    std::thread thread_;
};

} // namespace auburndoor
