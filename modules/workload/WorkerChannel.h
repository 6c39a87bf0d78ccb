#pragma once

#include "workload/WorkerClient.h"

#include <memory>
#include <optional>

namespace auburndoor {

/** The end of the lease of all tasks on a worker. */
struct LeaseDeadline
{
    /** The incarnation of the worker whose clock the deadline is on. */
    std::int64_t incarnation = 0;
    Milliseconds time { 0 };

    bool operator==(const LeaseDeadline &) const = default;
};

/** The request for a worker's report. */
struct ReportRequest
{
    /** Finished runs up to this EndedTask::number are stored, and the worker may forget them; 0 acknowledges none. */
    std::int64_t acknowledged = 0;
    /** The incarnation of the worker that the acknowledgement and the deadline are for. */
    std::int64_t incarnation = 0;
    /** The end of the lease of all tasks, on the clock of that incarnation; empty leaves the lease as it is. */
    std::optional<Milliseconds> deadline;
    /** How long the worker may delay its reply until a task ends. */
    Milliseconds maxWait { 0 };
};

/**
    Carries commands to one worker, all with the same fencing token, and the replies back.

    Leases are given as deadlines on the worker's clock, so that a command that is late on its way cannot extend one; WorkerLease
    computes them. The clock of a later incarnation begins anew, and a deadline of the former one would give it the longest lease
   that it accepts: deadlines and acknowledgements reach the incarnation that they name, or no one. All members are called from the
   loop's thread. Callbacks are called from the same thread, never from within the call, also after the channel was destroyed.
*/
class WorkerChannel
{
public:
    virtual ~WorkerChannel() = default;

    /** Starts a task. The outcome is OtherIncarnation if the worker has restarted, and nothing was started. */
    virtual void start(const StartCommand &command, const LeaseDeadline &deadline, WorkerClient::CommandCallback callback) = 0;
    /** Stops one attempt of a task. */
    virtual void stop(const TaskName &task, std::int64_t attempt, WorkerClient::CommandCallback callback) = 0;
    /** Limits a running task to a share of its full speed. @param percent from 0 (paused) to 100 */
    virtual void throttle(const TaskName &task, std::int64_t attempt, int percent, WorkerClient::CommandCallback callback) = 0;
    /** Reads the worker's report. That of another incarnation than the one of the request has neither extended a lease nor
     * forgotten an end. */
    virtual void readReport(const ReportRequest &request, WorkerClient::ReportCallback callback) = 0;
    /** Applies a changed address or incarnation of the worker. */
    virtual void update(const WorkerEntry &entry) = 0;
};

/** Creates worker channels. */
class WorkerChannelFactory
{
public:
    virtual ~WorkerChannelFactory() = default;
    virtual std::unique_ptr<WorkerChannel> create(const WorkerEntry &entry, std::int64_t fencingToken) = 0;
};

} // namespace auburndoor
