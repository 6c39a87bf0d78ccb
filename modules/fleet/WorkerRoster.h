#pragma once

#include "core/Clock.h"
#include "fleet/FollowedTasks.h"
#include "fleet/OwnedWorker.h"
#include "fleet/WorkerList.h"
#include "worker/WorkerConnection.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

namespace auburndoor {

class CapacityLedger;
class WorkerConnector;
class WorkerHealth;

/** The times that a WorkerRoster works with. */
struct WorkerRosterOptions
{
    int shardsPerDomain = 8;
    Milliseconds taskLease { 30'000 };
    Milliseconds renewalPeriod { 10'000 };
};

/** One exchange with a worker that is due. */
struct WorkerVisit
{
    WorkerId worker;
    ShardId shard;
    Epoch epoch = 0;
    /** False: the worker is to be claimed; true: its leases are to be renewed. */
    bool isSeized = false;
    std::shared_ptr<WorkerConnection> connection;
    /** Tasks that are to be cancelled first. */
    std::vector<TaskId> unresolved;
    /** When the exchange began. */
    TimePoint asked;
};

/**
    What this instance knows of the workers of the cell and of those in its own shards; enters and removes the latter in the ledger.

    All members may be called from any thread. The ledger is called under the roster's lock, so that a shard that is lost leaves no
    worker behind.
*/
class WorkerRoster
{
public:
    WorkerRoster(const WorkerRosterOptions &options,
                 Clock &clock,
                 WorkerConnector &connector,
                 CapacityLedger &ledger,
                 WorkerHealth &health);

    /** Takes in changes of the platform's list. @return true if a failure domain appeared */
    bool update(const std::vector<ListedWorker> &changes);

    void gainShard(const ShardId &shard, Epoch epoch);
    void loseShard(const ShardId &shard);

    /** Drops a shard unless it has been gained again with a higher epoch. @return true if it was dropped */
    bool loseShardAt(const ShardId &shard, Epoch epoch);

    /** Opens or closes workers for new work, by the list and their health. */
    void reviewHealth();

    /** The next worker whose time has come, marked as busy until finish(). */
    std::optional<WorkerVisit> takeDue();

    /** When the next worker is due; the given time if that is earlier. */
    TimePoint nextDue(TimePoint latest) const;

    /** Ends a visit. @param pause the longest time until the next one */
    void finish(const WorkerVisit &visit, Milliseconds pause);

    /** Enters a claimed worker into the ledger with the tasks that run on it. @return false if the shard has moved meanwhile */
    bool enter(const WorkerVisit &visit, const WorkerReport &report);

    /** Takes in the report of a renewal, and releases the room of tasks that have ended. */
    void takeReport(const WorkerVisit &visit, const WorkerReport &report);

    /** Releases the room of a task whose fate has become known. */
    void settle(const WorkerVisit &visit, const TaskId &task);

    void follow(const WorkerId &worker, Epoch epoch, const TaskId &task, FollowMode mode);

    /** A claimed worker; empty if this instance does not own it now. */
    std::optional<OwnedWorker> find(const WorkerId &worker) const;

    /**
        True if the task ran when the worker last reported.

        Reports come often enough for the end of each task to be seen after at most an eighth of its run time, so that questions
       about running tasks need not go to the worker.
    */
    bool isReportedRunning(const WorkerId &worker, const TaskId &task) const;

    /** The tasks of a job for which isReportedRunning() holds. */
    std::vector<TaskId> reportedRunning(const JobId &job) const;

    /**
        True if no task of the worker can run any more.

        Either this instance has claimed it and could not renew its task leases for the lease time and a margin, so that the worker
       has stopped them itself, or the platform has listed it as gone for as long.
    */
    bool hasLapsed(const WorkerId &worker) const;

    /** True if the worker is in an owned shard but has not been claimed yet. */
    bool isUnseized(const WorkerId &worker) const;

    /** The number of workers in owned shards that have not been claimed yet. */
    int unclaimedCount() const;

    /** The failure domains of all listed workers, with their regions. */
    std::map<FailureDomainId, RegionId> domains() const;

    /** Sum of the capacity of all listed workers of the cell. */
    Resources cellCapacity() const;

    /** The listed workers of a pool that are not gone, for checks whether work can ever fit. */
    std::vector<ListedWorker> pool(const ServiceId &service) const;

private:
    struct Entry
    {
        ListedWorker listed;
        ShardId shard;
        Epoch epoch = 0;
        bool isSeized = false;
        /** True while a thread sends it an order. */
        bool isBusy = false;
        TimePoint due;
        std::shared_ptr<WorkerConnection> connection;
        FollowedTasks followed;
        /** The tasks that ran when it last reported. */
        std::set<TaskId> running;
        /** When it last answered a claim or a renewal of leases. */
        TimePoint lastReport;
    };

    /** Forgets a shard; the caller holds the lock. */
    void drop(const ShardId &shard);
    void add(const ListedWorker &listed, const ShardId &shard, Epoch epoch);
    void apply(const ListedWorker &changed);
    void noteGone(const ListedWorker &changed);
    bool isOpen(const ListedWorker &worker) const;
    Entry *entryOf(const WorkerVisit &visit);
    bool isReportFresh(const Entry &entry) const;
    static void noteReport(Entry &entry, const WorkerReport &report, TimePoint asked);

    const WorkerRosterOptions options_;
    Clock &clock_;
    WorkerConnector &connector_;
    CapacityLedger &ledger_;
    WorkerHealth &health_;

    mutable std::mutex mutex_;
    WorkerList list_;
    std::map<ShardId, Epoch> shards_;
    std::map<WorkerId, Entry> workers_;
    std::map<WorkerId, TimePoint> goneSince_;
};

} // namespace auburndoor
