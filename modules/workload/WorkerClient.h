#pragma once

#include "core/Clock.h"
#include "workload/JobSpec.h"
#include "workload/WorkerEntry.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace auburndoor {

/** The outcome of a command to a worker. */
enum class CommandOutcome {
    Accepted,
    /** The worker has seen a higher fencing token. */
    Fenced,
    /** On this worker, this run or a later run of the task has already ended or been stopped. */
    Superseded,
    /** The lease sent with the command had already expired on the worker's clock. */
    LeaseExpired,
    /** The worker has too little free capacity. */
    NoCapacity,
    /** The permit is missing, expired or was issued for another incarnation of the worker. */
    PermitRejected,
    /** The worker rejected the command as invalid. */
    Malformed,
    /** The worker refused the command before it did anything. */
    Unavailable,
    /** The worker is no longer at this address. */
    WrongWorker,
    /** The command was not sent. */
    NotSent,
    /** The command was not sent: another incarnation of the worker has answered than the one that it is for. */
    OtherIncarnation,
    /** No reply: the command may have been carried out, or may still be carried out later. */
    Unknown,
};

/** The outcome's name in log events. */
std::string_view name(CommandOutcome outcome);

/** How a run of a task ended. */
enum class RunOutcome {
    Done,
    Failed,
    Stopped,
    /** The worker's lease expired. */
    LeaseExpired,
    /** Another member of the gang ended. */
    GangMemberEnded,
    /** The other members of the gang did not start in time. */
    GangIncomplete,
};

/** The outcome's name in log events. */
std::string_view name(RunOutcome outcome);

/** A running task in a worker's report. */
struct RunningTask
{
    TaskName task;
    std::int64_t attempt = 0;
    /** The last checkpoint; empty if there is none. */
    std::string checkpoint;
    /** The progress, from 0 to 100. */
    int percent = 0;
    /** A service's tail latency in ms, or another task's use in thousandths of a core, over the last half second; -1 if unknown. */
    std::int64_t latencyOrProcessorUse = -1;
};

/** A finished run in a worker's report. */
struct EndedTask
{
    /** The position in the worker's sequence of finished runs, which begins at 1 in each incarnation of the worker. */
    std::int64_t number = 0;
    TaskName task;
    std::int64_t attempt = 0;
    RunOutcome end = RunOutcome::Failed;
    std::string checkpoint;
};

/** A worker's report of its running tasks and of the finished runs that were not acknowledged yet. */
struct TaskReport
{
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended;
    /** The worker's incarnation, as in WorkerEntry. */
    std::int64_t incarnation = 0;
    /** The worker may have finished more runs than it lists: one that is in neither list may have ended in any way. */
    bool isCutOff = false;
    /** Why it may leave out runs that go on or have ended, such as a row that cannot be read; empty if nothing is left out. */
    std::string omission;
};

/** The command to start one attempt of a task. */
struct StartCommand
{
    TaskName task;
    std::int64_t attempt = 0;
    /** JobSpec::payload. */
    std::string payload;
    /** The checkpoint to resume from; empty if there is none. */
    std::string checkpoint;
    /** The advisory service's permit; empty if the queue needs none. */
    std::string permit;
};

/**
    Sends commands to one worker, all with the same fencing token.

    The implementation tracks the worker's clock and converts lease durations into deadlines on that clock. All members are called
    from the loop's thread. Callbacks are called from the same thread, never from within the call.
*/
class WorkerClient
{
public:
    struct Reply
    {
        CommandOutcome outcome = CommandOutcome::Unknown;
        /** Describes a failure, for logs. */
        std::string detail;
        /** The worker's clock when it replied; empty if the reply does not tell. */
        std::optional<Milliseconds> workerClock = {};
    };
    using CommandCallback = std::function<void(const Reply &)>;
    using ReportCallback = std::function<void(const Reply &, const TaskReport &)>;

    virtual ~WorkerClient() = default;

    /** Starts a task and extends the lease of all tasks on the worker. */
    virtual void start(const StartCommand &command, Milliseconds lease, CommandCallback callback) = 0;
    /** Stops one attempt of a task. */
    virtual void stop(const TaskName &task, std::int64_t attempt, CommandCallback callback) = 0;

    /** Limits a running task to a share of its full speed. @param percent from 0 (paused) to 100 */
    virtual void throttle(const TaskName &task, std::int64_t attempt, int percent, CommandCallback callback) = 0;

    /**
        Extends the lease of all tasks on the worker and reads its report.

        @param acknowledged finished runs up to this EndedTask::number are stored, and the worker may forget them
        @param lease        the lease duration from now; zero leaves the lease as it is
        @param maxWait      how long the worker may delay its reply until a task ends
    */
    virtual void renewLeases(std::int64_t acknowledged, Milliseconds lease, Milliseconds maxWait, ReportCallback callback) = 0;

    /** The latest time, on this process's clock, at which a lease granted to the worker ends; allows for a slow worker clock. */
    virtual TimePoint leaseEnd() const = 0;

    /** Applies a changed address or incarnation of the worker. */
    virtual void update(const WorkerEntry &entry) = 0;
};

/** Creates worker clients. */
class WorkerClientFactory
{
public:
    virtual ~WorkerClientFactory() = default;
    virtual std::unique_ptr<WorkerClient> create(const WorkerEntry &entry, std::int64_t fencingToken) = 0;
};

} // namespace auburndoor
