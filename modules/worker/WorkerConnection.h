#pragma once

#include "core/Clock.h"
#include "core/Identifier.h"
#include "core/Resources.h"

#include <optional>
#include <string>
#include <vector>

namespace auburndoor {

struct Failure;

enum class TaskState {
    /** The worker has no record of the task. */
    Unknown,
    Running,
    /** Ended by itself; the answer is kept for at least 10 minutes. */
    Done,
    /** Ended with an error of its own program. */
    Failed,
    /** Stopped by an order or because its lease lapsed. */
    Stopped,
    /** Cancelled before it started; the worker refuses a later start of this id. */
    NeverStarted,
};

/** A task as a worker reports it. */
struct TaskStatus
{
    TaskId id;
    TaskState state = TaskState::Unknown;
    /** What the task was started with. */
    Resources need;
    TeamId team;
    /** The answer of a task that is done, or the error of one that failed. */
    std::string answer;
    /** Measured use, with the worker's lag; zero if not yet measured. */
    Resources measuredUse;
};

/** The start of a task. */
struct TaskStart
{
    TaskId id;
    Epoch epoch = 0;
    TeamId team;
    ServiceId service;
    Resources need;
    /** The worker refuses the start after this moment on its own wall clock. */
    WallTime latestStart;
    /** The worker stops the task when its lease is not renewed for this long. */
    Milliseconds lease { 30'000 };
    /** What the task is to work on. */
    std::string body;
};

enum class CallStatus {
    /** The worker answered; the answer is the task's own. */
    Answered,
    /** The task ran and failed with an error of its own. */
    TaskFailed,
    /** The worker refused the start, or it was never sent: it was not run. */
    NotRun,
    /** The start may have reached the worker and no definite report came back. */
    Unknown,
};

struct CallResult
{
    CallStatus status = CallStatus::Unknown;
    std::string answer;
};

/** What a worker reports to a claim or a renewal. */
struct WorkerReport
{
    Resources capacity;
    /** Claim: all tasks that run. Renewal: all tasks that run, and those that ended since the last renewal. */
    std::vector<TaskStatus> tasks;
};

/**
    The worker protocol: orders that carry the shard's epoch as fencing token.

    A worker refuses orders with an epoch lower than the highest it has seen (FailureReason::StaleEpoch). All members may be called
   from any thread, block until the deadline at most, and return empty (or an enum value that says so) with the failure filled.
*/
class WorkerConnection
{
public:
    virtual ~WorkerConnection() = default;

    /** Raises the worker's epoch and reads what it runs. */
    virtual std::optional<WorkerReport> claim(Epoch epoch, const InstanceId &owner, TimePoint deadline, Failure &failure) = 0;

    /** Starts a task and waits for its answer. */
    virtual CallResult call(const TaskStart &start, TimePoint deadline, Failure &failure) = 0;

    /** Starts a task and returns when it runs. Answered means started. */
    virtual CallResult start(const TaskStart &start, TimePoint deadline, Failure &failure) = 0;

    /** The state of one task. */
    virtual std::optional<TaskStatus> query(const TaskId &task, TimePoint deadline, Failure &failure) = 0;

    /**
        Stops a task, or forbids its start if it has not come yet.

        @return the state after the order: NeverStarted, Stopped, Done or Failed are definite
    */
    virtual std::optional<TaskStatus> cancel(const TaskId &task, Epoch epoch, TimePoint deadline, Failure &failure) = 0;

    /** Saves the state of a running task and stops it, so that it can be started again elsewhere; the answer is the checkpoint. */
    virtual std::optional<TaskStatus> checkpoint(const TaskId &task, Epoch epoch, TimePoint deadline, Failure &failure) = 0;

    /** Limits a running task to a share of its processors. @param percent from 1 to 100 */
    virtual bool throttle(const TaskId &task, Epoch epoch, int percent, TimePoint deadline, Failure &failure) = 0;

    /** Renews the lease of all tasks of this worker. */
    virtual std::optional<WorkerReport> renew(Epoch epoch, Milliseconds lease, TimePoint deadline, Failure &failure) = 0;
};

} // namespace auburndoor
