#pragma once

#include "core/Clock.h"
#include "fleet/OwnedWorker.h"
#include "fleet/TrackedTasks.h"
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

/** Settings of a WorkerRoster, with the same meaning as in WorkerManagerOptions. */
struct WorkerRosterOptions
{
    int shardsPerDomain = 8;
    Milliseconds taskLease { 30'000 };
    Milliseconds renewalPeriod { 10'000 };
};

/** An exchange with a worker that is due: a claim, or cancellations and a lease renewal. */
struct WorkerExchange
{
    WorkerId worker;
    ShardId shard;
    Epoch epoch = 0;
    /** True if the worker is claimed, so that its leases are to be renewed; false if it is to be claimed. */
    bool isClaimed = false;
    std::shared_ptr<WorkerConnection> connection;
    /** Tasks that are to be cancelled before the renewal. */
    std::vector<TaskId> unresolved;
    /** When the exchange began; the worker's report is at least as recent. */
    TimePoint requestTime;
    /** True if the last renewal was not answered: the worker's tasks are read, and no lease is extended until it answers. */
    bool mustProbe = false;
};

/**
    The state of all workers of the cell and of those in owned shards. Adds owned workers to the capacity ledger and removes them.

    All members may be called from any thread. The ledger is called under the roster's lock, so that no worker of a lost shard
    stays in the ledger.
*/
class WorkerRoster
{
public:
    WorkerRoster(const WorkerRosterOptions &options,
                 Clock &clock,
                 WorkerConnector &connector,
                 CapacityLedger &ledger,
                 WorkerHealth &health);

    /** Applies changes of the platform's list. @return true if a failure domain appeared */
    bool update(const std::vector<ListedWorker> &changes);

    /** Adds the workers of a shard, to be claimed with the epoch. Ignored unless the epoch is higher than the known one. */
    void gainShard(const ShardId &shard, Epoch epoch);
    /** Drops a shard and removes its workers from the ledger. */
    void loseShard(const ShardId &shard);

    /** Records that the table showed this instance as the owner at readTime. Ignored unless the epoch is the known one. */
    void confirmShard(const ShardId &shard, Epoch epoch, TimePoint readTime);

    /** Drops a shard unless it has been gained again with a higher epoch. @return true if it was dropped */
    bool loseShardUnlessNewer(const ShardId &shard, Epoch epoch);

    /** Opens claimed workers for new work in the ledger if they are live and not quarantined, and closes the others. */
    void updateOpenStates();

    /** An exchange that is due, if any. Its worker is busy, and not due again, until finishExchange(). */
    std::optional<WorkerExchange> takeDueExchange();

    /** When the next worker is due, at the latest at the given time. */
    TimePoint nextDueTime(TimePoint latest) const;

    /** Ends an exchange. @param longestPause the longest time until the next one with this worker */
    void finishExchange(const WorkerExchange &exchange, bool isAnswered, Milliseconds longestPause);

    /**
        Adds a claimed worker to the ledger with the tasks that run on it.

        @return false if meanwhile the worker was removed or replaced, or its shard lost
    */
    bool addClaimedWorker(const WorkerExchange &exchange, const WorkerReport &report);

    /** Records the report of a renewal, and releases the capacity of tasks that have ended. */
    void applyReport(const WorkerExchange &exchange, const WorkerReport &report);

    /** Stops tracking a task that no longer runs, and releases its capacity. */
    void releaseTask(const WorkerExchange &exchange, const TaskId &task);

    /** Starts to track a task; ignored if the worker is no longer owned with this epoch. */
    void track(const WorkerId &worker, Epoch epoch, const TaskId &task, TrackingMode mode);

    /** A claimed worker; empty if this instance does not own it now. */
    std::optional<OwnedWorker> find(const WorkerId &worker) const;

    /**
        True if the task is tracked, was running at the worker's last report, and that report is not older than a task lease.

        The end of a tracked task is reported within an eighth of its run time, so that queries for running tasks need not go to
        the worker.
    */
    bool isReportedRunning(const WorkerId &worker, const TaskId &task) const;

    /** The tasks of a job for which isReportedRunning() holds. */
    std::vector<TaskId> reportedRunning(const JobId &job) const;

    /**
        True if no task of the worker can run any more.

        Either this instance has claimed the worker and had sent it no renewal and no start for the lease time and a margin when the
        table last confirmed its ownership, or the platform has listed the worker as gone for as long. Without the confirmation, a
        successor may have claimed the worker and extended the leases.
    */
    bool haveTaskLeasesLapsed(const WorkerId &worker) const;

    /** True if the worker is in an owned shard but has not been claimed yet. */
    bool isUnclaimed(const WorkerId &worker) const;

    /** The number of workers in owned shards that have not been claimed yet. */
    int unclaimedCount() const;

    /** The failure domains of all listed workers, with their regions. */
    std::map<FailureDomainId, RegionId> domains() const;

    /** The sum of the capacity of all listed workers of the cell. */
    Resources cellCapacity() const;

    /** The listed workers of a pool that are not gone, used to check whether a need can ever fit. */
    std::vector<ListedWorker> pool(const ServiceId &service) const;

private:
    struct Entry
    {
        ListedWorker listed;
        ShardId shard;
        Epoch epoch = 0;
        bool isClaimed = false;
        /** True from takeDueExchange() to finishExchange(). */
        bool isBusy = false;
        /** When the next exchange is due. */
        TimePoint dueTime;
        std::shared_ptr<WorkerConnection> connection;
        TrackedTasks tracked;
        /** The tasks that were running at the last report. */
        std::set<TaskId> running;
        /** When the last claim or renewal that was answered began. */
        TimePoint lastReportTime;
        /** When the last order was sent that may have extended a lease, whether or not it was answered. */
        TimePoint lastLeaseOrderTime;
        /** True while a renewal is under way. */
        bool isRenewing = false;
        /** True if the last renewal or probe was not answered. */
        bool mustProbe = false;
    };

    /** Removes a shard and its workers. This and the following private members need the lock. */
    void eraseShard(const ShardId &shard);
    void add(const ListedWorker &listed, const ShardId &shard, Epoch epoch);
    void applyChange(const ListedWorker &changed, const ShardId &shard);
    void recordGone(const ListedWorker &changed);
    bool isOpen(const ListedWorker &worker) const;
    /** The entry of the worker; null if it was replaced or its shard has another epoch. */
    Entry *findEntry(const WorkerExchange &exchange);
    bool isReportFresh(const Entry &entry) const;
    static void recordReport(Entry &entry, const WorkerReport &report, TimePoint requestTime);

    const WorkerRosterOptions options_;
    Clock &clock_;
    WorkerConnector &connector_;
    CapacityLedger &ledger_;
    WorkerHealth &health_;

    mutable std::mutex mutex_;
    WorkerList list_;
    std::map<ShardId, Epoch> shards_;
    /** When the table last confirmed the ownership of each shard in its present epoch. */
    std::map<ShardId, TimePoint> confirmedTimes_;
    /** The workers of owned shards. */
    std::map<WorkerId, Entry> workers_;
    /** When the platform's list first showed a worker as gone. */
    std::map<WorkerId, TimePoint> goneSince_;
};

} // namespace auburndoor
