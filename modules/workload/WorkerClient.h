#pragma once

#include "core/Clock.h"
#include "workload/JobSpec.h"
#include "workload/WorkerEntry.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace auburndoor {

/** How a worker answered a command. */
enum class CommandOutcome {
    Accepted,
    /** The worker has seen a higher fencing token. */
    Fenced,
    /** This run, or a later one of the task, was stopped or ended there before. */
    Superseded,
    /** The lease sent with the command had already passed on the worker's clock. */
    LeaseExpired,
    NoCapacity,
    /** The permit is missing, expired or of another life of the worker. */
    PermitRejected,
    Malformed,
    /** The worker refused before it did anything. */
    Unavailable,
    /** The worker that was meant no longer answers at this address. */
    WrongWorker,
    /** Nothing was sent. */
    NotSent,
    /** No answer: the command may have been carried out, or may be later. */
    Unknown,
};

std::string_view name(CommandOutcome outcome);

/** How a run ended. */
enum class RunOutcome {
    Done,
    Failed,
    Stopped,
    /** The lease passed. */
    LeaseExpired,
    /** Another member of the gang ended. */
    GangMemberEnded,
    /** The other members of the gang did not come in time. */
    GangIncomplete,
};

std::string_view name(RunOutcome end);

struct RunningTask
{
    TaskName task;
    std::int64_t attempt = 0;
    std::string checkpoint;
    int percent = 0;
    /** For a service the tail latency in milliseconds, for others the thousandths of a core in use, over the last half second. */
    std::int64_t latencyOrProcessorUse = -1;
};

struct EndedTask
{
    /** Numbers of ends begin at 1 in each life of the worker. */
    std::int64_t number = 0;
    TaskName task;
    std::int64_t attempt = 0;
    RunOutcome end = RunOutcome::Failed;
    std::string checkpoint;
};

/** What a worker reports of its tasks. */
struct TaskReport
{
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended;
    std::int64_t incarnation = 0;
};

/** A start of a task. */
struct StartCommand
{
    TaskName task;
    std::int64_t attempt = 0;
    std::string payload;
    std::string checkpoint;
    /** The advisory service's permit; empty if the queue needs none. */
    std::string permit;
};

/**
    The client of one worker, under one fencing token.

    The implementation keeps the worker's clock and turns lease times into it. All members are called from the loop's thread, and
    callbacks are called from it, never from within the call.
*/
class WorkerClient
{
public:
    struct Reply
    {
        CommandOutcome outcome = CommandOutcome::Unknown;
        std::string detail;
    };
    using CommandCallback = std::function<void(const Reply &)>;
    using ReportCallback = std::function<void(const Reply &, const TaskReport &)>;

    virtual ~WorkerClient() = default;

    /** Starts a task; the lease of everything on the worker is extended as well. */
    virtual void start(const StartCommand &order, Milliseconds lease, CommandCallback callback) = 0;
    virtual void stop(const TaskName &task, std::int64_t attempt, CommandCallback callback) = 0;

    /** Sets the share of its speed at which a task works. @param percent from 0 to 100 */
    virtual void throttle(const TaskName &task, std::int64_t attempt, int percent, CommandCallback callback) = 0;

    /**
        Extends the lease of everything on the worker and reads its report.

        @param acknowledged ends up to this number are recorded and may be forgotten
        @param wait         how long the worker may hold the answer back until a task ends
    */
    virtual void renewLeases(std::int64_t acknowledged, Milliseconds lease, Milliseconds wait, ReportCallback callback) = 0;

    /** The end of the longest lease that the worker may have been given, on this process's clock, with allowance for slow clocks.
     */
    virtual TimePoint leaseEnd() const = 0;

    /** Follows a change of address or life. */
    virtual void update(const WorkerEntry &entry) = 0;
};

/** Creates the client of a worker. */
class WorkerClientFactory
{
public:
    virtual ~WorkerClientFactory() = default;
    virtual std::unique_ptr<WorkerClient> create(const WorkerEntry &entry, std::int64_t fencingToken) = 0;
};

} // namespace auburndoor
