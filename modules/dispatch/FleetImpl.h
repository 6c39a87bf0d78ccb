#pragma once

#include "dispatch/Fleet.h"

namespace auburndoor {

/** The state of a Fleet, shared with the callbacks of orders under way. */
struct Fleet::Impl : std::enable_shared_from_this<Fleet::Impl>
{
    Impl(Timers &timers, WorkerClientFactory &factory, FleetListener &listener, FleetTiming times, std::int64_t fencingToken);

    WorkerState &obtain(const WorkerEntry &entry);
    WorkerState *find(const std::string &id);
    Run *findRun(const std::string &id, const RunKey &key);

    /** Takes over a changed entry; a new life of the worker ends all its runs. */
    void changeEntry(WorkerState &worker, const WorkerEntry &entry);
    void enroll(WorkerState &worker);

    /** Begins to look at a worker if there is something to look for. */
    void ensureLook(WorkerState &worker);
    void look(const std::string &id);
    /** Looks at once, beside a look that may be waiting for an end. */
    void probe(const std::string &id);
    void probeUncertain(const std::string &id);
    void lookAfter(const std::string &id, Milliseconds delay);
    void onLookFailed(const std::string &id, const WorkerClient::Reply &reply);
    void onReport(const std::string &id, const TaskReport &report, TimePoint lookSentAt);
    void takeEnds(WorkerState &worker, const TaskReport &report);
    void takeRunning(WorkerState &worker, const TaskReport &report, TimePoint lookSentAt);
    void takeUnknownRun(WorkerState &worker, const RunningTask &running);
    void checkMissing(WorkerState &worker, const std::set<RunKey> &listed, TimePoint lookSentAt);
    void onEndRecorded(const std::string &id, std::int64_t incarnation, std::int64_t number);

    void onStartReply(const std::string &id, const RunKey &key, const WorkerClient::Reply &reply);
    void sendStop(const std::string &id, const RunKey &key);
    void onStopReply(const std::string &id, const RunKey &key, const WorkerClient::Reply &reply);

    void removeRun(WorkerState &worker, const RunKey &key);
    /** Decides about starts without an answer, by a report that was asked for after they were sent. */
    void resolveUncertain(WorkerState &worker, const std::set<RunKey> &listed, TimePoint lookSentAt);
    void loseRun(WorkerState &worker, const RunKey &key, RunLoss loss, CommandOutcome outcome = CommandOutcome::Unknown);
    void loseAllRuns(WorkerState &worker, RunLoss loss);
    void noteOutcome(WorkerState &worker, bool hasFailed);
    /** Forgets a worker that is not listed, runs nothing and cannot come back to what it ran. */
    void forgetIfGone(const std::string &id);

    Timers &timers;
    WorkerClientFactory &factory;
    FleetListener &listener;
    FleetTiming times;
    std::int64_t fencingToken;
    TimePoint createdAt;
    std::map<std::string, std::unique_ptr<WorkerState>> workers;
    long long looks = 0;
    bool isDirectoryStale = false;
    bool isClosed = false;
};

} // namespace auburndoor
