#pragma once

#include "dispatch/CommitQueue.h"
#include "dispatch/Fleet.h"
#include "dispatch/JobManager.h"
#include "dispatch/TaskPlacer.h"
#include "entry/AdmissionControl.h"
#include "entry/Owner.h"
#include "entry/OwnershipGuard.h"
#include "entry/OwnershipReport.h"
#include "entry/TableReading.h"
#include "entry/TableWatch.h"

#include <map>
#include <optional>

namespace auburndoor {

/** The state of an Owner, shared with the callbacks of calls in flight. */
struct Owner::Impl : std::enable_shared_from_this<Owner::Impl>
{
    Impl(const OwnerDependencies &dependencies, const Ownership &ownership, std::function<void()> deposedCallback);

    /** Stops all work, because another owner has taken over. */
    void depose();
    /** Runs one round of placement after placementDelay, unless a round is scheduled already. */
    void schedulePlacement();
    /** Restores the state from the stored tables, and starts to work. */
    void restoreState(const TableReading::Tables &tables);
    void restoreProgress(const std::vector<StoreRow> &rows);
    void restoreParts(const std::vector<StoreRow> &rows);
    void restoreJobs(const std::vector<StoreRow> &rows);
    void restoreRoster(const std::vector<StoreRow> &rows);
    /** Passes rows of the platform's worker table to the fleet. */
    void updateWorkers(const TableUpdate &update);
    /** False while another owner may have taken over. */
    bool mayStartTasks();
    /** Detects suspensions and keeps the store's confirmation of the ownership recent, also while the tables are read. */
    void watchOwnership();
    /** Does the periodic work and schedules itself again. */
    void runMaintenance();
    /** Logs what the rounds of placement have cost, once a second. */
    void reportPlacement();
    /** Logs a lasting lack of confirmation by the store, and the wait of inherited jobs for unread workers. */
    void reportOwnership();
    OwnershipReport::Workers countWorkers() const;
    void handleCall(const ClientCall &call, Callback callback);
    void answerQuery(const ClientCall &call, Callback callback);
    /** True if the call names a job of another account than that of its key. */
    bool isJobOfOtherAccount(const ClientCall &call) const;
    void submit(const ClientCall &call, Callback callback);
    /** Refuses a new submission if the owner is overloaded. Nothing of it is kept. @return true if it was refused */
    bool refuseUnderOverload(const std::string &job, const QueueSpec &queue, const Callback &callback);
    /** Measures how far the loop and the placement are behind. */
    void sampleLoad();
    /** Calls sampleLoad() at intervals. */
    void scheduleLoadSample();
    void reportLoad(const AdmissionControl::Load &load);
    /** Counts the jobs that have not begun, and updates the rate at which jobs begin. */
    void countBacklog(TimePoint now);
    int notBegunCount() const;
    /** The jobs that have not begun and go before a new one of this priority. */
    AdmissionControl::Backlog backlogBefore(int priority) const;
    /** Answers with the result, or with OwnerChanged if the store names another owner; it is asked if maxAge has passed since. */
    void answerAsOwner(const ClientResult &result, Milliseconds maxAge, Callback callback);
    /** Drops what rests on times of the store's clock if that has begun anew. */
    void followStoreClock();
    /**
        Answers that there is no such job, once the store has confirmed that this is still the owner.

        @param refusal why the caller is not told of a job that there is
    */
    void confirmNoSuchJob(KeyRefusal refusal, Callback callback);
    /** Calls done once the rows before the mark of the commit queue are stored, or at the deadline. */
    void waitForFlush(std::uint64_t mark, TimePoint flushDeadline, std::function<void(const Ownership &)> done);

    OwnerDependencies dependencies;
    Ownership ownership;
    std::function<void()> deposedCallback;
    FleetTiming timing;
    OwnershipEvidence evidence;
    CommitQueue commitQueue;
    JobManager jobManager;
    Fleet fleet;
    TaskPlacer placer;
    TableReading tableReading;
    TableWatch workerWatch;
    OwnershipGuard guard;
    OwnershipReport ownershipReport;
    AdmissionControl admission;
    TimePoint loadSampleDueAt;
    TimePoint loadReportedAt;
    /** The longest delay of the loop since the last report. */
    Milliseconds longestLoopDelay { 0 };
    TimePoint backlogCountedAt;
    /** The jobs without a schedule that have not begun, by priority: those at the last count, and those admitted since. */
    std::map<int, int> backlog;
    /** How many jobs have begun in a second lately. */
    double recentBeginRate = 0.0;
    /** How many can begin in a second; the first figure lets a new owner measure it before it refuses anything. */
    double beginRate = 100.0;
    /** New submissions refused under overload since the last report. */
    int shedSubmissions = 0;
    /** The progress records of jobs that have not ended, by job, until restoreJobs(). */
    std::map<std::string, std::string> storedProgress;
    /** The parts of wide jobs, by job, until restoreJobs(). */
    std::map<std::string, JobManager::StoredParts> storedParts;
    DesiredState desiredState;
    /** StoreTimeline::restartCount() as followed. */
    int storeRestarts = 0;
    bool isReady = false;
    bool isClosed = false;
    bool isPlacementScheduled = false;
    /** Delay from a change to the next round of placement. */
    Milliseconds placementDelay;
    TimePoint placementReportedAt;
    /** Since when no round of placement has got through all steps; empty if the last one has. */
    std::optional<TimePoint> placementBehindSince;
    bool isStopping = false;
};

} // namespace auburndoor
