#pragma once

#include "workload/WorkerConnection.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace auburndoor {

/**
    A connection to a worker that knows which incarnation it leads to.

    A report of the worker over the connection confirms the incarnation. A command that names an incarnation is sent only over a
    connection that is confirmed to lead to it; on one that has just been opened, a report without an acknowledgement and a deadline
    is read first. Used on the loop's thread.
*/
class ConfirmedConnection : public std::enable_shared_from_this<ConfirmedConnection>
{
public:
    /** @param worker the worker's id, for the log */
    ConfirmedConnection(std::string worker, std::unique_ptr<WorkerConnection> connection);

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
    /** The number of commands without a reply. */
    int pendingCount() const;

private:
    /** A command that is sent or refused when the incarnation at the other end is known. */
    struct WaitingCommand
    {
        std::int64_t incarnation = 0;
        std::function<void(ConnectionNumber boundTo)> send;
        /** Ends the command without sending it; called with the reply that does not confirm its incarnation. */
        WorkerClient::ReportCallback refuse;
    };

    /** @param isRepeated a connection that was confirmed has turned out to be closed, so that the command was not sent */
    void sendStart(const StartCommand &command,
                   const LeaseDeadline &deadline,
                   bool isRepeated,
                   const WorkerClient::CommandCallback &callback);
    void sendReportRequest(const ReportRequest &request, bool isRepeated, const WorkerClient::ReportCallback &callback);
    /** Sends the command at once if its incarnation is confirmed, and otherwise after a report was read. */
    void sendConfirmed(WaitingCommand command);
    void onConfirmation(const ConnectionReply &reply, const TaskReport &report);
    /** Notes which incarnation has reported, and over which connection. */
    void noteReport(const ConnectionReply &reply, const TaskReport &report);
    /** A command was not sent because its connection is closed. @return true if it is to be sent over another one */
    bool mayRepeat(bool isRepeated);
    /** Counts the reply to a command that may go over any connection. */
    WorkerConnection::CommandCallback countReply(WorkerClient::CommandCallback callback);
    void logWithheld(const char *command, std::int64_t incarnation, std::int64_t reported) const;

    static constexpr ConnectionNumber anyConnection = 0;
    static constexpr std::int64_t unconfirmed = -1;

    std::string worker_;
    /** Null once closed. */
    std::unique_ptr<WorkerConnection> connection_;
    /** The connection that carried the last report, and the incarnation in it. */
    ConnectionNumber number_ = anyConnection;
    std::int64_t incarnation_ = unconfirmed;
    std::vector<WaitingCommand> waiting_;
    /** A report is being read to confirm the incarnation. */
    bool isConfirming_ = false;
    int pendingCount_ = 0;
};

} // namespace auburndoor
