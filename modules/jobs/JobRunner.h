#pragma once

#include "core/Clock.h"
#include "core/Identifier.h"
#include "jobs/GangCoordinator.h"
#include "jobs/JobDriver.h"
#include "jobs/PlaceFinder.h"
#include "jobs/TaskTracker.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <thread>
#include <vector>

namespace auburndoor {

class JobStore;
class Metrics;
class PeerDirectory;
class PeerHandler;

/**
    Drives the jobs of the shards that this instance owns, on a thread of its own.

    shardGained(), shardLost(), notifyJob() and explain() may be called from any thread and return quickly. Each save checks the
    version of the shard's row, so an instance that has lost a shard without notice writes nothing and starts nothing.
*/
class JobRunner
{
public:
    /** @param local the handler of this instance, called instead of a peer; all references must outlive the runner */
    JobRunner(const InstanceId &self, JobStore &store, PeerHandler &local, PeerDirectory &peers, Clock &clock, Metrics &metrics);
    ~JobRunner();
    JobRunner(const JobRunner &) = delete;
    JobRunner &operator=(const JobRunner &) = delete;

    /** Starts the thread. Tests call runOnce() instead. */
    void start();

    /** Waits for the current call of runOnce(), joins the thread and releases held places. Running tasks are not stopped. */
    void stop();

    /** Tells that this instance owns the shard now. @param shardRowVersion the version of the row "shard/<shard>" that names it */
    void shardGained(const ShardId &shard, Epoch epoch, long long shardRowVersion);

    /** Tells that this instance does not own the shard any more. */
    void shardLost(const ShardId &shard);

    /** Tells that a job has been recorded or cancelled. Ignored for shards that this instance does not own. */
    void notifyJob(const ShardId &shard, const JobId &job);

    /** Why a job waits and where its tasks are; empty if this instance does not drive the job. */
    std::optional<JobExplanation> explain(const JobId &job) const;

    /**
        Applies pending changes, polls the shards and drives jobs until none is due, but for no longer than the poll period. Called
        by the runner's thread, or by tests that do not start it.

        @return when to call it again
    */
    TimePoint runOnce();

private:
    /** The state of one owned shard. */
    struct Shard
    {
        long long rowVersion = 0;
        std::map<JobId, JobDriver> jobs;
        bool isLoaded = false;
        /** JobStore::changeVersion() at the last load; empty if the shard has to be loaded again. */
        std::optional<long long> changeVersion;
        TimePoint nextPoll;
        TimePoint nextCleanup;
    };

    using JobKey = std::pair<ShardId, JobId>;

    void run();
    bool hasPendingChanges() const;
    void applyPendingChanges();
    void pollShard(const ShardId &id, Shard &shard);
    void loadShard(const ShardId &id, Shard &shard);
    void removeEndedJobs(const ShardId &id, Shard &shard);
    void loadJob(const ShardId &id, Shard &shard, const JobId &job);
    void applyRecord(Shard &shard, Job job);
    bool driveNextDueJob();
    void drive(const ShardId &id, Shard &shard, const JobId &job);
    void dropShard(const ShardId &id);
    JobServices makeServices();

    JobStore &store_;
    Clock &clock_;
    Metrics &metrics_;
    OwnerGateway gateway_;
    GangCoordinator gangs_;
    PlaceFinder places_;
    TaskTracker tracker_;
    /** Used by the thread of the runner only, and by stop() after the join. */
    std::map<ShardId, Shard> shards_;

    mutable std::mutex mutex_;
    std::condition_variable condition_;
    /** Shards gained (with the version of their row) or lost (empty) since the last applyPendingChanges(). */
    std::map<ShardId, std::optional<long long>> changedShards_;
    /** Jobs recorded or cancelled since the last applyPendingChanges(). */
    std::set<JobKey> changedJobs_;
    std::map<JobId, JobExplanation> explanations_;
    bool isStopping_ = false;
    std::thread thread_;
};

} // namespace auburndoor
