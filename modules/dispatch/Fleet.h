#pragma once

#include "dispatch/WorkerState.h"
#include "net/Timers.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace auburndoor {

/** What the fleet tells the job manager. Calls come from the loop's thread. */
class FleetListener
{
public:
    virtual ~FleetListener() = default;

    /** A run is known to run; the listener may learn of it by this call only. @return what it takes; empty if it is not wanted */
    virtual std::optional<RunClaim> adoptRun(const std::string &worker, const RunningTask &running) = 0;

    virtual void runConfirmed(const std::string &worker, const Run &run) = 0;

    /**
        A run ended. Called once for each end of a life of a worker, also for runs of earlier owners.

        @param recorded to be called once the consequences are stored
    */
    virtual void runEnded(const std::string &worker, const EndedTask &ended, std::function<void()> recorded) = 0;

    /** A run is gone without an end that counts. */
    virtual void runLost(const std::string &worker, const RunKey &key, RunLoss loss, CommandOutcome outcome) = 0;

    /** The checkpoint that a running task has reported. */
    virtual void checkpointSeen(const RunningTask &running) = 0;

    /** A worker has seen a higher fencing token. */
    virtual void fenced(const std::string &worker) = 0;

    /** Room may have become free, or a worker usable. */
    virtual void capacityChanged() = 0;

    /** A worker that has to be known to the next owner appeared, or one no longer has to. */
    virtual void rosterChanged(const WorkerEntry &entry, bool isMember, std::function<void()> recorded) = 0;
};

/** Lengths of leases and waits towards the workers. */
struct FleetTiming
{
    /** The lease of all that runs; extended with each look. */
    Milliseconds lease { 5000 };
    /** How long a worker may hold a look back until a task ends. */
    Milliseconds lookWait { 1000 };
    /** From an end that was reported to the next look, so that ends close to each other share one. */
    Milliseconds gatherEnds { 120 };
    /** From a failed look to the next one. */
    Milliseconds lookRetry { 250 };
    /** A worker that has not reported for so long is started nothing on. */
    Milliseconds suspectAfter { 3500 };
    /** An older view of the directory is stale; it is read about every two seconds. */
    Milliseconds directoryStaleAfter { 3000 };
    /** With a stale view of the directory, nothing is started on a worker that has not reported for so long. */
    Milliseconds unlistedReportLimit { 1600 };
};

/**
    The workers of the cell under one fencing token: looks at them, sends orders, and keeps account of what occupies them.

    A worker's room is occupied by a run from the moment its start is sent until its end is listed, or it is ruled out that the
   start takes effect. All members are called from the loop's thread.
*/
class Fleet
{
public:
    Fleet(Timers &timers, WorkerClientFactory &factory, FleetListener &listener, FleetTiming times, std::int64_t fencingToken);
    ~Fleet();

    /** A worker's entry appeared or changed. */
    void setEntry(const WorkerEntry &entry);

    /** A worker that an earlier owner may have given orders to, and that the directory may not list. */
    void addFormerWorker(const WorkerEntry &entry);

    /** A worker's entry was removed. */
    void removeEntry(const std::string &id);

    /** The ids in the directory; entries that are missing count as removed. */
    void retainEntries(const std::set<std::string> &ids);

    /**
        Tells how old the view of the directory is. While it is stale a restart of an idle worker would go unnoticed, and its new
       life knows no fencing token: idle workers are looked at, and nothing starts where the last report is old.
    */
    void setDirectoryAge(Milliseconds age);

    void start(const std::string &worker, const StartCommand &command, const RunClaim &claim);
    void stop(const std::string &worker, const RunKey &key, const std::string &reason);
    void throttle(const std::string &worker, const RunKey &key, int percent);

    /** True if a task may be started there now. */
    bool isUsable(const WorkerState &worker) const;

    /** True while some worker of the service may run something that nobody here knows of. */
    bool hasUnreadWorkers(const std::string &service) const;

    const std::map<std::string, std::unique_ptr<WorkerState>> &workers() const;
    WorkerState *worker(const std::string &id);
    Run *run(const std::string &worker, const RunKey &key);

    /** Stops all activity; callbacks that arrive later do nothing. */
    void close();

    /** Lease renewals sent so far. */
    long long renewalCount() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace auburndoor
