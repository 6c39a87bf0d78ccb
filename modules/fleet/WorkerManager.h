#pragma once

#include "core/Clock.h"
#include "fleet/WorkerRoster.h"
#include "ownership/ShardListener.h"
#include "placement/CapacityLedger.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace auburndoor {

class InstanceDirectory;
class Metrics;
class WorkerConnector;
class WorkerHealth;

/** Periods of a WorkerManager and how workers are grouped. */
struct WorkerManagerOptions
{
    InstanceId self;
    int shardsPerDomain = 8;
    Milliseconds taskLease { 30'000 };
    Milliseconds renewalPeriod { 10'000 };
    Milliseconds listPeriod { 1000 };
    /** Time limit of one order to a worker. */
    Milliseconds orderTimeout { 2000 };
    /** Threads that claim workers and renew leases. */
    int threadCount = 4;
};

/**
    Keeps the workers of the owned shards: follows the platform's list, claims each worker with the epoch of its shard, enters it
   into the capacity ledger, renews its task leases, and gives the room of ended tasks back.

    All members may be called from any thread.
*/
class WorkerManager : public ShardListener
{
public:
    WorkerManager(const WorkerManagerOptions &options,
                  Clock &clock,
                  Metrics &metrics,
                  InstanceDirectory &directory,
                  WorkerConnector &connector,
                  CapacityLedger &ledger,
                  WorkerHealth &health);

    /** Stops the threads. */
    ~WorkerManager() override;

    void start();
    void stop();

    void shardGained(const ShardId &shard, Epoch epoch) override;
    void shardLost(const ShardId &shard) override;

    /** A claimed worker; empty if this instance does not own it now. */
    std::optional<OwnedWorker> find(const WorkerId &worker) const;

    /** Releases the room of a task once the worker reports that it has ended. Call after a start that does not wait for the answer.
     */
    void trackTask(const Reservation &reservation);

    /** Cancels a task whose fate is not known until the worker gives a definite report, and then releases its room. */
    void resolveTask(const Reservation &reservation);

    /** Drops ownership of a shard at once because a worker has seen a higher epoch. */
    void reportStaleEpoch(const ShardId &shard, Epoch epoch);

    /** What is known of the workers. */
    const WorkerRoster &roster() const;

    /** Called on the manager's threads when the set of failure domains changes. Set before start(). */
    void setDomainListener(std::function<void(const std::map<FailureDomainId, RegionId> &)> listener);

private:
    void followList();
    void pollList();
    void visitWorkers();
    void claim(const WorkerVisit &visit);
    void renew(const WorkerVisit &visit);
    void cancelUnresolved(const WorkerVisit &visit);
    void wake();

    const WorkerManagerOptions options_;
    Clock &clock_;
    Metrics &metrics_;
    InstanceDirectory &directory_;
    WorkerRoster roster_;
    std::function<void(const std::map<FailureDomainId, RegionId> &)> domainListener_;
    /** Used by the list thread only. */
    long long cursor_ = 0;

    std::mutex mutex_;
    std::condition_variable condition_;
    /** Rises with each change that may make a worker due. */
    long long changes_ = 0;
    bool isStopping_ = false;
    std::vector<std::thread> threads_;
};

} // namespace auburndoor
