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

/**
    Serves the jobs of any instance on the workers that this instance owns: holds places for tasks, and starts, queries and
    cancels tasks. Thread-safe.
*/
class OwnedWorkerService
{
public:
    OwnedWorkerService(Clock &clock, Metrics &metrics, CapacityLedger &ledger, WorkerManager &workers);

    /**
        Reserves up to the requested number of places until the time limit of the request has passed.

        @return the holds that were made
    */
    std::vector<Hold> hold(const HoldRequest &request);

    /** Releases the reservations of holds; unknown holds are ignored. */
    void release(const std::vector<Hold> &holds);

    /** Starts a task on a held place, which uses up the hold. NotRun if the hold has lapsed or the worker is no longer owned. */
    CallResult startHeld(const Hold &hold, const TaskStart &start, Milliseconds timeout, Failure &failure);

    /** The state of a task. Empty if its worker is not owned or does not answer. */
    std::optional<TaskStatus> queryTask(const WorkerId &worker, const TaskId &task, Milliseconds timeout, Failure &failure);

    /** The tasks of a job that were running when their owned workers last reported. */
    std::vector<TaskId> runningTasks(const JobId &job) const;

    /** Cancels a task, and releases its capacity once it no longer runs. Empty if its worker is not owned or does not answer. */
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

    /** Why an order cannot be sent to a worker that this instance has not claimed. */
    Failure makeUnavailableFailure(FailureStep step, const WorkerId &worker) const;
    /** Adds to the failure of an unanswered order whether the tasks of the worker may still run. */
    Failure makeNoAnswerFailure(const WorkerId &worker, const Failure &failure) const;
    /** Turns a hold into the reservation of a task. @return empty if the hold has lapsed or its reservation is gone */
    std::optional<Reservation> assignHold(const Hold &hold, const TaskId &task);

    Clock &clock_;
    Metrics &metrics_;
    CapacityLedger &ledger_;
    WorkerManager &workers_;
    mutable std::mutex mutex_;
    std::map<std::string, HeldPlace> holds_;
};

} // namespace auburndoor
