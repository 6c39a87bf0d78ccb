#pragma once

#include "dispatch/AccountUsage.h"
#include "dispatch/OwnershipEvidence.h"
#include "dispatch/ReadoptedRun.h"
#include "dispatch/WorkerCrash.h"
#include "dispatch/WorkerState.h"
#include "net/Timers.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace auburndoor {

/** Receives events about runs and workers from a Fleet. All members are called from the loop's thread. */
class FleetListener
{
public:
    virtual ~FleetListener() = default;

    /**
        A worker reports a run that this fleet does not know, such as one that an earlier owner started.

        @return what the run takes of the worker; empty if it is not wanted, and the fleet stops it
    */
    virtual std::optional<RunClaim> adoptRun(const std::string &worker, const RunningTask &running) = 0;

    /**
        A worker goes on with a run that runLost() has named. The listener stops other runs of its task unless both may go on.

        @return what becomes of the run; empty if it is not wanted, and the fleet stops it
    */
    virtual std::optional<ReadoptedRun> readoptRun(const std::string &worker, const RunningTask &running) = 0;

    /** What a run that is not wanted takes of its account's limit until it has ended; no account if that is not known. */
    virtual RunClaim claimOfUnwanted(const RunningTask &running) const = 0;

    /** A run that this fleet started is known to run. */
    virtual void runConfirmed(const std::string &worker, const Run &run) = 0;

    /**
        A run ended. Called once for each end that an incarnation of a worker lists, also for runs of earlier owners.

        @param recorded to be called once the consequences are stored; the end is acknowledged to the worker after that
    */
    virtual void runEnded(const std::string &worker, const EndedTask &ended, std::function<void()> recorded) = 0;

    /** A run is gone without a listed end. @param outcome why its start was refused or not sent; else Unknown */
    virtual void runLost(const std::string &worker, const RunKey &key, RunLoss loss, CommandOutcome outcome) = 0;

    /** A worker with runs does not answer; it may have crashed, or be cut off. */
    virtual void workerSilent(const WorkerCrash &possibleCrash) = 0;

    /**
        A worker has crashed under runs and is back. Its runs were reported as lost before, long before if their leases expired
       while the worker was away.
    */
    virtual void workerCrashed(const WorkerCrash &crash) = 0;

    /** A running task has reported a checkpoint. */
    virtual void checkpointSeen(const RunningTask &running) = 0;

    /** A worker rejected a command because it has seen a higher fencing token. */
    virtual void fenced(const std::string &worker) = 0;

    /** Capacity may have become free, or a worker usable. */
    virtual void capacityChanged() = 0;

    /**
        A worker has to be entered in the roster, which the next owner reads, or removed from it.

        @param isMember true to enter the worker
        @param recorded to be called once the change is stored
    */
    virtual void rosterChanged(const WorkerEntry &entry, bool isMember, std::function<void()> recorded) = 0;

    /** The roster's row of a member is to be written with its next changes; nothing waits for it. */
    virtual void rosterEntryChanged(const WorkerEntry &entry) = 0;
};

/** Durations of the leases and polls of workers. */
struct FleetTiming
{
    /** The lease of all runs of a worker; each poll extends it. */
    Milliseconds lease { 5000 };
    /** How long a worker may delay its answer to a poll until a task ends. */
    Milliseconds pollWait { 1000 };
    /** The delay from a reported end to the next poll, so that ends close to each other share one. */
    Milliseconds endBatchDelay { 120 };
    /** The delay from a failed poll to the next one. */
    Milliseconds pollRetryDelay { 250 };
    /**
        The directory does not remove the entry of a worker that has been silent for less than this: an entry that is missing
        sooner was removed by its worker. Less than EntrySettings::entryLifetime, as reports are only approximately regular.
    */
    Milliseconds minSilenceBeforeRemoval { 3750 };
    /** Nothing is started on a worker with runs whose last report is older. */
    Milliseconds maxReportAge { 3500 };
    /** The view of the directory counts as stale when it is older; it is read about every two seconds. */
    Milliseconds directoryStaleAfter { 3000 };
    /** While the view of the directory is stale, nothing is started on any worker whose last report is older. */
    Milliseconds maxReportAgeWhenDirectoryStale { 1600 };
    EvidenceTiming evidence;
    /** Idle workers are polled once neither the store nor the workers with runs have shown for longer that this is the owner. */
    Milliseconds maxEvidenceAge { 1500 };
};

/**
    The workers of the cell under one fencing token: polls them, sends them commands and tracks the runs that occupy them.

    A run occupies its worker from the moment its start is sent until its end is listed, or until it is certain that the start
    will not take effect. All members are called from the loop's thread.
*/
class Fleet
{
public:
    /** @param evidence limits the leases that this fleet grants, and what it concludes from their ends */
    Fleet(Timers &timers,
          WorkerClientFactory &factory,
          FleetListener &listener,
          FleetTiming timing,
          std::int64_t fencingToken,
          OwnershipEvidence &evidence);
    ~Fleet();

    /** Adds a worker of the directory, or follows a change of its entry. */
    void setEntry(const WorkerEntry &entry);

    /** Adds a worker of the roster: an earlier owner may have sent it commands, and the directory may not list it. */
    void addFormerWorker(const WorkerEntry &entry);

    /**
        Adds a run that an earlier owner has recorded: if its worker is found in a later incarnation, it has crashed under the run.

        @param incarnation the worker's incarnation in which the run was known to run
    */
    void expectRun(const std::string &worker, std::int64_t incarnation, const WorkerCrash::AffectedRun &run);

    /**
        Follows the removal of a worker's entry from the directory.

        @param missingAt a time of the store's clock at which the entry was missing; empty if that is not known
    */
    void removeEntry(const std::string &id, std::optional<Milliseconds> missingAt);

    /** Follows the change of a worker's entry into one that cannot be read, which tells nothing of the worker. */
    void disregardEntry(const std::string &id);

    /** Follows a full read of the directory: workers whose ids are missing count as removed, as by removeEntry(). */
    void retainEntries(const std::set<std::string> &ids, std::optional<Milliseconds> missingAt);

    /** The store had this version, and its clock showed this time, between the request and now. */
    void noteStoreTime(Milliseconds time, std::int64_t version, CallTime requestedAt);

    /** The store's clock has begun anew: what rests on its earlier times counts no longer, also for the next owner. */
    void forgetStoreTimes();

    /**
        Tells the next owner, by the roster, until when leases may hold on workers that drain or do not answer, and grants these
        workers none from now on.

        To be called before a planned handover. Without it the next owner waits for as long as after any takeover.
    */
    void handOverLeases();

    /** Follows a change of the settings, see FleetTiming::minSilenceBeforeRemoval. */
    void setMinSilenceBeforeRemoval(Milliseconds duration);

    /**
        Sets how old the view of the directory is.

        While it is stale, the directory shows no restart of an idle worker, and a restarted worker knows no fencing token.
        Therefore idle workers are polled as well, and nothing starts on a worker whose last report is old.
    */
    void setDirectoryAge(Milliseconds age);

    /**
        Notes in the evidence since when at least half of the roster's workers have accepted commands.

        While the store does not confirm the ownership and too few workers have runs, idle workers are polled for this.
    */
    void collectEvidence();

    /** How long a lease of an earlier owner may still hold; zero once all are over. */
    Milliseconds remainingInheritedLease() const;

    /** Sends a start; the run occupies the claim from now on. Does nothing if there is no such worker. */
    void start(const std::string &worker, const StartCommand &command, const RunClaim &claim);
    /** False while so many starts are without an answer that further ones would only wait on the way. */
    bool maySendStart() const;
    /** Stops a run, with repetitions until the worker has acknowledged it. Does nothing if the run is already being stopped. */
    void stop(const std::string &worker, const RunKey &key, const std::string &reason);
    /** Allows runs of other jobs beside a run again. Does nothing if there is no such run. */
    void clearSuspicion(const std::string &worker, const RunKey &key);
    /** Sets the share of its speed at which a run works, from 0 to 100 percent. */
    void throttle(const std::string &worker, const RunKey &key, int percent);

    /** True if a task may be started on the worker now. */
    bool isUsable(const WorkerState &worker) const;

    /**
        True while the report of some worker is unread that serves the service, or has served it in its present incarnation, so that
        it may have runs unknown to this owner.

        Once all leases of earlier owners are over, only workers count whose reports are cut off and whose leases this owner has
        extended.
    */
    bool hasUnreadWorkers(const std::string &service) const;
    /** True if at most a twentieth of the workers, or one of several, is unread: few tasks may have runs that are not known. */
    bool hasReadMostWorkers() const;

    const std::map<std::string, std::unique_ptr<WorkerState>> &workers() const;
    /** What the client accounts have on all workers. */
    const AccountUsage &accountUsage() const;
    /**
        The ids of the workers that were added or removed, or whose runs, report or usability changed since the last call. A worker
        also becomes unusable, or usable again, by the passing of time, which is not listed.
    */
    std::vector<std::string> takeChangedWorkers();
    /** Null if there is no such worker. */
    WorkerState *worker(const std::string &id);
    /** Null if there is no such run. */
    Run *run(const std::string &worker, const RunKey &key);

    /** Stops polling and ignores answers that arrive later. */
    void close();

    /** The number of lease renewals sent so far. */
    long long renewalCount() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace auburndoor
