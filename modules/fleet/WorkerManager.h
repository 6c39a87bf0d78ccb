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

/** Settings of a WorkerManager. */
struct WorkerManagerOptions
{
    InstanceId self;
    int shardsPerDomain = 8;
    /** A worker stops its tasks when their leases are not renewed for this long. */
    Milliseconds taskLease { 30'000 };
    /** The longest time between two lease renewals of a worker. */
    Milliseconds renewalPeriod { 10'000 };
    /** Time between two reads of the platform's list of workers. */
    Milliseconds listPollPeriod { 1000 };
    /** Time limit of one order to a worker, and of one read of the list. */
    Milliseconds orderTimeout { 2000 };
    /** Threads that claim workers and renew leases. */
    int threadCount = 4;
};

/**
    Manages the workers of the owned shards: polls the platform's list, claims each worker with the epoch of its shard, adds it to
    the capacity ledger, renews its task leases, and releases the capacity of ended tasks.

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

    /** Starts the list thread and the threads that claim workers and renew leases. */
    void start();
    /** Stops the threads and waits for them. */
    void stop();

    void shardGained(const ShardId &shard, Epoch epoch) override;
    void shardLost(const ShardId &shard) override;
    void shardConfirmed(const ShardId &shard, Epoch epoch, TimePoint readTime) override;

    /** A claimed worker; empty if this instance does not own it now. */
    std::optional<OwnedWorker> find(const WorkerId &worker) const;

    /**
        Releases the capacity of a task once the worker reports that it has ended. Call after a start that does not wait for the
        task's answer.
    */
    void trackTask(const Reservation &reservation);

    /** Cancels a task that may or may not have started, until the worker reports a definite state; then releases its capacity. */
    void resolveTask(const Reservation &reservation);

    /**
        Drops a shard at once because a worker has refused this epoch as stale; ignored if the shard was gained again with a
        higher epoch.
    */
    void reportStaleEpoch(const ShardId &shard, Epoch epoch);

    /** The state of the listed and the owned workers. */
    const WorkerRoster &roster() const;

    /** Sets a function that is called on the list thread when a failure domain appears. Call before start(). */
    void setDomainListener(std::function<void(const std::map<FailureDomainId, RegionId> &)> listener);

private:
    /** Loop of the list thread. */
    void runListPolling();
    void pollList();
    /** Loop of the threads that claim workers and renew leases. */
    void runWorkerExchanges();
    void claim(const WorkerExchange &exchange);
    void renew(const WorkerExchange &exchange);
    void cancelUnresolved(const WorkerExchange &exchange);
    /** Makes the threads look for workers that are due. */
    void wakeThreads();

    const WorkerManagerOptions options_;
    Clock &clock_;
    Metrics &metrics_;
    InstanceDirectory &directory_;
    WorkerRoster roster_;
    std::function<void(const std::map<FailureDomainId, RegionId> &)> domainListener_;
    /** The position in the platform's list of workers. Used by the list thread only. */
    long long cursor_ = 0;

    std::mutex mutex_;
    std::condition_variable condition_;
    /** Incremented by each change that may make a worker due. */
    long long changeCount_ = 0;
    bool isStopping_ = false;
    std::vector<std::thread> threads_;
};

} // namespace auburndoor
