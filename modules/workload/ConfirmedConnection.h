#pragma once

#include "workload/WorkerConnection.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace auburndoor {

class Timers;

/**
    A connection to a worker that knows which incarnation it leads to.

    A report of the worker over the connection confirms the incarnation. A command that names an incarnation is sent only over a
    connection that is confirmed to lead to it; on one that has just been opened, a report without an acknowledgement and a deadline
    is read first. Used on the loop's thread.
*/
class ConfirmedConnection : public std::enable_shared_from_this<ConfirmedConnection>
{
public:
    /** Stands for no incarnation. */
    static constexpr std::int64_t anyIncarnation = -1;
    /** A command that could not be sent for longer ends as NotSent: the caller may have decided otherwise meanwhile. */
    static constexpr Milliseconds maxDelayBeforeSending { 400 };

    /** @param worker the worker's id, for the log */
    ConfirmedConnection(Timers &timers, std::string worker, std::unique_ptr<WorkerConnection> connection);

    /** As WorkerChannel::start(). */
    void start(const StartCommand &command, const LeaseDeadline &deadline, WorkerClient::CommandCallback callback);
    void stop(const TaskName &task, std::int64_t attempt, WorkerClient::CommandCallback callback);
    void throttle(const TaskName &task, std::int64_t attempt, int percent, WorkerClient::CommandCallback callback);
    /** As WorkerChannel::readReport(). */
    void readReport(const ReportRequest &request, WorkerClient::ReportCallback callback);
    void update(const WorkerEntry &entry);
    /** Closes the connection. Nothing is sent after that, and commands without a reply end. */
    void close();

    /** True if the last report over the connection was that of this incarnation. */
    bool isConfirmedFor(std::int64_t incarnation) const;
    /** True if no command waits for its reply. */
    bool isIdle() const;

private:
    /** A command that is sent or refused when the incarnation at the other end is known. */
    struct WaitingCommand
    {
        std::int64_t incarnation = 0;
        /** On Timers::bootNow(), which advances while this machine is suspended. */
        TimePoint sendBy;
        std::function<void(ConnectionNumber boundTo)> send;
        /** Ends the command without sending it; called with the reply that does not confirm its incarnation. */
        WorkerClient::ReportCallback refuse;
    };

    /** @param sendBy until when it is sent again if its connection turns out to be closed */
    void sendStart(const StartCommand &command,
                   const LeaseDeadline &deadline,
                   TimePoint sendBy,
                   const WorkerClient::CommandCallback &callback);
    /** @param isRepeated it is sent once more after its connection broke, and not again */
    void sendReportRequest(const ReportRequest &request, bool isRepeated, const WorkerClient::ReportCallback &callback);
    /** True if a request for a report is to be sent once more over another connection: its connection broke. */
    bool mayRepeat(const ConnectionReply &reply, TimePoint replyDueAt) const;
    TimePoint newSendBy() const;
    /** Sends the command at once if its incarnation is confirmed, and otherwise after a report was read. */
    void sendConfirmed(WaitingCommand command);
    void onConfirmation(const ConnectionReply &reply, const TaskReport &report);
    /** Notes which incarnation has reported, and over which connection. */
    void noteReport(const ConnectionReply &reply, const TaskReport &report);
    /** Counts the reply to a command that may go over any connection. */
    WorkerConnection::CommandCallback countReply(WorkerClient::CommandCallback callback);
    void logWithheld(const char *command, std::int64_t incarnation, std::int64_t reported) const;

    static constexpr ConnectionNumber anyConnection = 0;

    Timers &timers_;
    std::string worker_;
    /** Null once closed. */
    std::unique_ptr<WorkerConnection> connection_;
    /** The connection that carried the last report, and the incarnation in it; none after a failure. */
    ConnectionNumber number_ = anyConnection;
    std::int64_t incarnation_ = anyIncarnation;
    std::vector<WaitingCommand> waiting_;
    /** A report is being read to confirm the incarnation. */
    bool isConfirming_ = false;
    int pendingCount_ = 0;
};

} // namespace auburndoor
