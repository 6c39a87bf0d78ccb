#pragma once

#include "core/Clock.h"
#include "core/Identifier.h"
#include "core/Resources.h"

#include <optional>
#include <string>
#include <vector>

namespace auburndoor {

struct Failure;

/** The state of a task as its worker knows it. */
enum class TaskState {
    /** The worker has no record of the task. */
    Unknown,
    Running,
    /** Ended without an error. The worker keeps the answer for at least 10 minutes. */
    Done,
    /** Ended with an error of the task's own program. */
    Failed,
    /** Stopped by an order or because its lease lapsed. */
    Stopped,
    /** Cancelled before it was started; the worker refuses a later start of this id. */
    NeverStarted,
};

/** A task as a worker reports it. */
struct TaskStatus
{
    TaskId id;
    TaskState state = TaskState::Unknown;
    /** The need that the task was started with. */
    Resources need;
    /** The team that the task was started for. */
    TeamId team;
    /** The answer of a task that is done, or the error of one that failed. */
    std::string answer;
    /** The use that the worker last measured, which lags behind the present use; zero before the first measurement. */
    Resources measuredUse;
};

/** An order to start a task. */
struct TaskStart
{
    TaskId id;
    /** The epoch of the worker's shard, as the fencing token. */
    Epoch epoch = 0;
    TeamId team;
    ServiceId service;
    Resources need;
    /** The worker refuses the start after this moment on its own wall clock. */
    WallTime latestStart;
    /** The worker stops the task when its lease is not renewed for this long. */
    Milliseconds lease { 30'000 };
    /** The input of the task. */
    std::string body;
};

/** What is known of a start, or of a start and its answer. */
enum class CallStatus {
    /** A call: the task ended without an error. A start: the task has started. */
    Answered,
    /** The task was started, and failed or was stopped. */
    TaskFailed,
    /** The task was not run: the worker refused the start, or the start was never sent. */
    NotRun,
    /** The start may have reached the worker, and no definite answer came back. */
    Unknown,
};

/** The result of a start or a call. */
struct CallResult
{
    CallStatus status = CallStatus::Unknown;
    /** The answer or the error text of the task; empty unless it ended. */
    std::string answer;
};

/** A worker's capacity and tasks, as it answers a claim or a renewal. */
struct WorkerReport
{
    Resources capacity;
    /** The running tasks; for a renewal also those that ended since the last renewal whose answer arrived. */
    std::vector<TaskStatus> tasks;
};

/**
    A connection to one worker, which sends it orders with the shard's epoch as the fencing token.

    A worker refuses orders with an epoch lower than the highest it has seen (FailureReason::StaleEpoch). All members may be called
    from any thread and block until the deadline at most. On failure they return empty, false or another status than Answered, and
    fill the failure.
*/
class WorkerConnection
{
public:
    virtual ~WorkerConnection() = default;

    /** Claims the worker: raises its epoch, and returns its capacity and running tasks. */
    virtual std::optional<WorkerReport> claim(Epoch epoch, const InstanceId &owner, TimePoint deadline, Failure &failure) = 0;

    /** Starts a task and waits for its end. */
    virtual CallResult call(const TaskStart &start, TimePoint deadline, Failure &failure) = 0;

    /** Starts a task without waiting for its end. */
    virtual CallResult start(const TaskStart &start, TimePoint deadline, Failure &failure) = 0;

    /** The state of one task. */
    virtual std::optional<TaskStatus> query(const TaskId &task, TimePoint deadline, Failure &failure) = 0;

    /**
        Stops a task, or makes the worker refuse its start if that has not arrived yet.

        @return the state after the order; NeverStarted, Stopped, Done and Failed are definite
    */
    virtual std::optional<TaskStatus> cancel(const TaskId &task, Epoch epoch, TimePoint deadline, Failure &failure) = 0;

    /**
        Saves the state of a running task and stops it, so that it can be started on another worker. The answer is the
        checkpoint.
    */
    virtual std::optional<TaskStatus> checkpoint(const TaskId &task, Epoch epoch, TimePoint deadline, Failure &failure) = 0;

    /** Limits a running task to a share of its processors. @param percent the share, from 1 to 100 */
    virtual bool throttle(const TaskId &task, Epoch epoch, int percent, TimePoint deadline, Failure &failure) = 0;

    /** Renews the lease of all tasks of the worker, and returns its capacity and tasks. */
    virtual std::optional<WorkerReport> renew(Epoch epoch, Milliseconds lease, TimePoint deadline, Failure &failure) = 0;
};

} // namespace auburndoor
