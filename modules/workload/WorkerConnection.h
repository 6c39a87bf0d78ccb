#pragma once

#include "workload/WorkerChannel.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace auburndoor {

/** Identifies one of the connections that a WorkerConnection has opened; used once, and never 0. */
using ConnectionNumber = std::uint64_t;

/** A reply, or the lack of one, and the connection that it belongs to. */
struct ConnectionReply
{
    WorkerClient::Reply reply;
    /** The connection that carried the reply; 0 if there is none. */
    ConnectionNumber connection = 0;
    /** The command was not sent because the connection that it was bound to is closed. */
    bool isConnectionClosed = false;
};

/**
    Carries commands to one worker over one connection at a time, which is opened when there is a command and none is open. All
    commands have the same fencing token.

    A command that is bound to a connection is sent over that connection or not at all. A connection never outlives the incarnation
    of the worker that it leads to. All members are called from the loop's thread. Callbacks are called from the same thread, never
    from within the call, also after this was destroyed.
*/
class WorkerConnection
{
public:
    using CommandCallback = std::function<void(const ConnectionReply &)>;
    using ReportCallback = std::function<void(const ConnectionReply &, const TaskReport &)>;

    virtual ~WorkerConnection() = default;

    /** Starts a task. @param deadline the end of the lease of all tasks on the worker, on the clock of the incarnation there */
    virtual void start(const StartCommand &command, Milliseconds deadline, ConnectionNumber boundTo, CommandCallback callback) = 0;
    /** Stops one attempt of a task, over any connection. */
    virtual void stop(const TaskName &task, std::int64_t attempt, CommandCallback callback) = 0;
    /** Limits a running task to a share of its full speed, over any connection. @param percent from 0 (paused) to 100 */
    virtual void throttle(const TaskName &task, std::int64_t attempt, int percent, CommandCallback callback) = 0;
    /** Reads the worker's report. @param boundTo 0 for a request without an acknowledgement and a deadline, which any may carry */
    virtual void readReport(const ReportRequest &request, ConnectionNumber boundTo, ReportCallback callback) = 0;
    /** Applies a changed address of the worker. */
    virtual void update(const WorkerEntry &entry) = 0;
};

/** Creates connections to workers. */
class WorkerConnectionFactory
{
public:
    virtual ~WorkerConnectionFactory() = default;
    virtual std::unique_ptr<WorkerConnection> create(const WorkerEntry &entry, std::int64_t fencingToken) = 0;
};

} // namespace auburndoor
