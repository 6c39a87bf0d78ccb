#pragma once

#include "dispatch/Fleet.h"
#include "dispatch/LostRuns.h"
#include "dispatch/PossibleCrashes.h"
#include "dispatch/RosterQuorum.h"
#include "dispatch/StartWindow.h"
#include "dispatch/StoreClock.h"

#include <optional>

namespace auburndoor {

/** The state of a Fleet, shared with the callbacks of pending commands and timers. */
struct Fleet::Impl : std::enable_shared_from_this<Fleet::Impl>
{
    Impl(Timers &timers,
         WorkerClientFactory &factory,
         FleetListener &listener,
         FleetTiming timing,
         std::int64_t fencingToken,
         OwnershipEvidence &evidence);

    WorkerState &findOrCreate(const WorkerEntry &entry);
    /** Null if there is no such worker. */
    WorkerState *find(const std::string &id);
    /** Null if there is no such run. */
    Run *findRun(const std::string &id, const RunKey &key);

    /** Lists the worker in Fleet::takeChangedWorkers(). */
    void noteChange(WorkerState &worker);

    /** Takes over a changed entry. If the worker has restarted, all its runs become uncertain until a later report decides. */
    void updateEntry(WorkerState &worker, const WorkerEntry &entry);
    /** The worker is not in the directory any more. */
    void unlist(WorkerState &worker);
    /** Has the roster's row of a draining worker written with its last report and absence, unless the worker is not there. */
    void recordPresence(WorkerState &worker);
    /** Keeps the services of an incarnation whose entry now names another one. @param former the entry before */
    void keepEarlierServices(WorkerState &worker, const WorkerEntry &former);
    /** The runs that would end if the worker's present incarnation has crashed; none if it is draining. */
    WorkerCrash makePossibleCrash(const WorkerState &worker) const;
    /** Has the worker entered in the roster unless it is there. */
    void addToRoster(WorkerState &worker);
    /**
        False until more than half of the inherited roster was read, for the time of an inherited lease at most: no worker is added
       or removed then, since an earlier owner may go on by its count of that roster.
    */
    bool mayChangeRoster() const;
    /** Makes up for the changes of the roster that had to wait until mayChangeRoster(). */
    void catchUpWithRoster();

    /** The lease that may be granted now. */
    Milliseconds permittedLease() const;
    /** When all leases that earlier owners granted have ended. */
    TimePoint inheritedLeasesEnd() const;
    /** As above, for one worker: the former owner may have told an earlier time. */
    TimePoint inheritedLeasesEnd(const WorkerState &worker) const;
    /** True if all leases of earlier owners on the worker have ended, and no successor can have extended one. */
    bool areInheritedLeasesOver(const WorkerState &worker) const;
    /** True if runs that no report has listed may go on on a worker whose report is unread. */
    bool mayHaveUnknownRuns(const WorkerState &worker) const;
    /** When all leases on the worker have ended, on the store's clock; empty if that clock is not known. */
    std::optional<Milliseconds> leasesEndBy(const WorkerState &worker) const;
    /** The time that the former owner has handed over for the worker; null if it has not. */
    const HandedOverLease *handedOverLease(const WorkerState &worker) const;
    /** Polls all workers that are not being polled. */
    void pollAll();
    /** Starts to poll a worker whose report is unread or that has runs or unacknowledged ends. */
    void ensurePolling(WorkerState &worker);
    /** Renews the leases of a worker and reads its report. The worker may delay the answer until a task ends. */
    void pollWorker(const std::string &id);
    /** Reads a worker's report at once, beside a poll that may be waiting for an end; extends no lease. */
    void probe(const std::string &id);
    /** Probes the worker if it has uncertain runs. */
    void probeUncertainRuns(const std::string &id);
    /** Polls the worker after the delay, unless a poll is scheduled or pending. */
    void schedulePoll(const std::string &id, Milliseconds delay);
    void onPollFailed(const std::string &id, const WorkerClient::Reply &reply);
    /** The worker is known to have accepted a command of this owner, or to have ended. */
    void noteReached(const std::string &id);
    /** When the last lease ends that this owner or, unless its report was read, an earlier one has granted to the worker. */
    TimePoint leaseEnd(const WorkerState &worker) const;
    /** Until when what runs under the leases that this owner has granted may go on. */
    TimePoint ownLeaseEnd(const WorkerState &worker) const;
    /** True if no lease holds on the silent worker any more, and no successor can have extended one. */
    bool isLeaseOver(const WorkerState &worker) const;
    /**
        True if the worker has left as planned: it was draining, and its entry was removed sooner than the directory does it for
        silence. Its runs have ended with it, so that nothing has to wait for its lease.
    */
    bool hasLeft(const WorkerState &worker) const;
    /** The longest time from the last report to the directory to the removal of the entry; -1 ms if it is not known. */
    static Milliseconds silenceBeforeRemoval(const WorkerEntry &entry);
    void onReport(const std::string &id, const TaskReport &report, TimePoint pollSentAt);
    void processEnds(WorkerState &worker, const TaskReport &report);
    /** Tells the listener the run time of a run that was done, unless it is not known. */
    void reportRunTime(const WorkerState &worker, const EndedTask &ended);
    void processRunning(WorkerState &worker, const TaskReport &report, TimePoint pollSentAt);
    /** Decides about a listed run that this fleet does not track: it may be unknown, over, or wrongly given up. */
    void processUnknownRun(WorkerState &worker, const RunningTask &running, TimePoint pollSentAt);
    /** Adopts a run, or stops it if the listener does not want it. @param stopReason why it is stopped in any case; may be empty */
    void adoptRun(WorkerState &worker, const RunningTask &running, const std::string &stopReason = {});
    /**
        Has a listed run occupy the worker.

        @param claim      what the run takes of the worker; empty if it is not wanted, and is to be stopped
        @param stopReason why it is to be stopped; empty if a wanted run goes on
    */
    void insertReportedRun(WorkerState &worker,
                           const RunningTask &running,
                           const std::optional<RunClaim> &claim,
                           const std::string &stopReason);
    /** Logs that a report lists a run that was given up before the report was requested. */
    void logContradiction(const WorkerState &worker, const RunKey &key, const LostRun &lost) const;
    /** Gives up runs that the report has to list and does not. @param listed the runs that the report lists */
    void reportMissingRuns(WorkerState &worker, const std::set<RunKey> &listed, TimePoint pollSentAt);
    /** Notes that the consequences of an end are stored. @param number that of the end, in this incarnation of the worker */
    void onEndRecorded(const std::string &id, std::int64_t incarnation, std::int64_t number);

    void onStartReply(const std::string &id, const RunKey &key, const WorkerClient::Reply &reply);
    /** Updates the window of starts, and tells the listener if starts may be sent again. */
    void updateStartWindow(TimePoint sentAt, const WorkerClient::Reply &reply);
    /** Sends a stop unless one is pending or acknowledged. */
    void sendStop(const std::string &id, const RunKey &key);
    void onStopReply(const std::string &id, const RunKey &key, const WorkerClient::Reply &reply);

    /** Frees what the run occupies, without a call to the listener about the run. */
    void removeRun(WorkerState &worker, const RunKey &key);
    /**
        Decides about uncertain runs by a report that was requested after they became uncertain: a listed run goes on, a run whose
        start was answered is lost with the restart of its worker, and any other run is stopped to rule out that it starts late.
    */
    void resolveUncertainRuns(WorkerState &worker, const std::set<RunKey> &listed, TimePoint pollSentAt);
    /** Removes the run, and tells the listener unless the run was unwanted. */
    void reportLostRun(WorkerState &worker, const RunKey &key, RunLoss loss, CommandOutcome outcome = CommandOutcome::Unknown);
    /** Tells the listener of the crashes that an entry shows by its address, which workers had that have fallen silent. */
    void reportReplacedWorkers(const WorkerEntry &entry);
    /** Tells the listener of the crashes that the report of a later incarnation shows. */
    void reportCrashes(const std::string &id, const TaskReport &report, TimePoint pollSentAt);
    /**
        True if a report that does not list the run tells that it has ended.

        A later incarnation of the worker tells that only if the store has confirmed the ownership since its restart was seen: a
        successor may have seen the run end before.
    */
    bool isAbsenceConclusive(const WorkerState &worker, const Run &run) const;
    /** Logs that a worker is given up with its runs, if it has any. @param outcome of the poll that failed */
    void logLoss(const WorkerState &worker, CommandOutcome outcome) const;
    /** Logs that a worker lists runs though the last lease that counts for it was over when the report was requested. */
    void logOutlivedLease(const WorkerState &worker, const TaskReport &report, TimePoint pollSentAt) const;
    /** Logs that a worker has left as planned. @param outcome of the poll that failed */
    void logLeft(const WorkerState &worker, CommandOutcome outcome) const;
    /** How long ago the time was; negative for one to come. */
    Milliseconds elapsedSince(TimePoint time) const;
    void reportAllRunsLost(WorkerState &worker, RunLoss loss);
    /** Records how a run ended, and avoids the worker for a while if most of its last runs failed. */
    void recordOutcome(WorkerState &worker, bool hasFailed);
    /** Removes a worker that is not in the directory, has no runs and can no longer have runs unknown to this owner. */
    void removeIfGone(const std::string &id);

    Timers &timers;
    WorkerClientFactory &factory;
    FleetListener &listener;
    FleetTiming timing;
    std::int64_t fencingToken;
    OwnershipEvidence &evidence;
    RosterQuorum quorum;
    StoreClock storeClock;
    /** The store's version at the last reading of its clock. */
    std::int64_t storeVersion = 0;
    TimePoint createdAt;
    /** When the reports of more than half of the inherited roster's workers were read. */
    std::optional<TimePoint> majorityReadAt;
    bool isRosterChangeDelayed = false;
    std::map<std::string, std::unique_ptr<WorkerState>> workers;
    AccountUsage accountUsage;
    std::vector<std::string> changedWorkers;
    long long renewalsSent = 0;
    StartWindow startWindow;
    PossibleCrashes possibleCrashes;
    LostRuns lostRuns;
    bool isDirectoryStale = false;
    /** When the whole directory was first read under this owner. */
    std::optional<TimePoint> directoryReadAt;
    bool isClosed = false;
};

} // namespace auburndoor
