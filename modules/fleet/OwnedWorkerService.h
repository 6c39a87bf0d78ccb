#pragma once

#include "core/Clock.h"
#include "core/Failure.h"
#include "peer/Peer.h"
#include "placement/CapacityLedger.h"

#include <map>
#include <mutex>

namespace auburndoor {

class Metrics;
class WorkerManager;

/** What an owner does for the jobs of any instance: holds places in its workers and starts, queries and cancels tasks there. Any
 * thread. */
class OwnedWorkerService
{
public:
    OwnedWorkerService(Clock &clock, Metrics &metrics, CapacityLedger &ledger, WorkerManager &workers);

    /** Holds up to the requested number of places. */
    std::vector<Hold> hold(const HoldRequest &request);

    void release(const std::vector<Hold> &holds);

    /** Starts a task on a held place. NotRun if the hold has lapsed. */
    CallResult startHeld(const Hold &hold, const TaskStart &start, Milliseconds timeout, Failure &failure);

    std::optional<TaskStatus> queryTask(const WorkerId &worker, const TaskId &task, Milliseconds timeout, Failure &failure);

    /** The tasks of a job that owned workers reported as running. */
    std::vector<TaskId> runningTasks(const JobId &job) const;

    std::optional<TaskStatus> cancelTask(const WorkerId &worker, const TaskId &task, Milliseconds timeout, Failure &failure);

    /** Releases the holds whose time limit has passed. */
    void releaseLapsedHolds();

    /** The number of holds that are neither used nor released. */
    std::size_t holdCount() const;

private:
    struct HeldPlace
    {
        Reservation reservation;
        TimePoint expiry;
    };

    Failure whyNotOwned(FailureStep step, const WorkerId &worker) const;
    Failure whyNoAnswer(const WorkerId &worker, const Failure &failure) const;
    std::optional<Reservation> take(const Hold &hold, const TaskId &task);

    Clock &clock_;
    Metrics &metrics_;
    CapacityLedger &ledger_;
    WorkerManager &workers_;
    mutable std::mutex mutex_;
    std::map<std::string, HeldPlace> holds_;
};

} // namespace auburndoor
