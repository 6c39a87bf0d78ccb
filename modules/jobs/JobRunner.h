#pragma once

#include "core/Clock.h"
#include "core/Identifier.h"
#include "jobs/GangCoordinator.h"
#include "jobs/JobDriver.h"
#include "jobs/PlaceFinder.h"
#include "jobs/TaskFollower.h"

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
    Drives the jobs of the shards that this instance owns, on one thread of its own.

    The other members may be called from any thread and return quickly. A shard row version that does not match the table any more
    makes all writes fail, so a shard that was lost without notice does no harm.
*/
class JobRunner
{
public:
    /** @param local what this instance does with the messages of peers; all references must outlive the runner */
    JobRunner(const InstanceId &self, JobStore &store, PeerHandler &local, PeerDirectory &peers, Clock &clock, Metrics &metrics);
    ~JobRunner();
    JobRunner(const JobRunner &) = delete;
    JobRunner &operator=(const JobRunner &) = delete;

    /** Starts the thread. Tests call runOnce() instead. */
    void start();

    /** Finishes the current exchange, gives held places back and joins the thread. Tasks run on for the next owner. */
    void stop();

    /** This instance owns the shard. @param shardRowVersion the version of the row "shard/<shard>" that says so */
    void shardGained(const ShardId &shard, Epoch epoch, long long shardRowVersion);

    /** This instance does not own the shard any more. */
    void shardLost(const ShardId &shard);

    /** A job of an owned shard has been recorded or cancelled. Ignored for other shards. */
    void notifyJob(const ShardId &shard, const JobId &job);

    /** Why a job waits and where its tasks went; empty if this instance does not drive it. */
    std::optional<JobExplanation> explain(const JobId &job) const;

    /** Does all that is due now. @return when something is due again. Only for tests and the own thread. */
    TimePoint runOnce();

private:
    struct Shard
    {
        long long rowVersion = 0;
        std::map<JobId, JobDriver> jobs;
        bool isLoaded = false;
        std::optional<long long> changeMark;
        TimePoint nextPoll;
        TimePoint nextSweep;
    };

    using Event = std::pair<ShardId, JobId>;

    void run();
    bool hasNews() const;
    void takeNews();
    void pollShard(const ShardId &id, Shard &shard);
    void loadShard(const ShardId &id, Shard &shard);
    void sweep(const ShardId &id, Shard &shard);
    void loadJob(const ShardId &id, Shard &shard, const JobId &job);
    void adopt(Shard &shard, Job job);
    bool driveNext();
    void drive(const ShardId &id, Shard &shard, const JobId &job);
    void dropShard(const ShardId &id);
    JobServices services();

    JobStore &store_;
    Clock &clock_;
    Metrics &metrics_;
    OwnerGateway gateway_;
    GangCoordinator gangs_;
    PlaceFinder places_;
    TaskFollower follower_;
    /** Used by the running thread only. */
    std::map<ShardId, Shard> shards_;

    mutable std::mutex mutex_;
    std::condition_variable condition_;
    /** News since the last takeNews(): shards with their row version, or empty if lost, and jobs. */
    std::map<ShardId, std::optional<long long>> shardNews_;
    std::set<Event> jobNews_;
    std::map<JobId, JobExplanation> explanations_;
    bool isStopping_ = false;
    std::thread thread_;
};

} // namespace auburndoor
