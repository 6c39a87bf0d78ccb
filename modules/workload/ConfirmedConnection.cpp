#include "workload/ConfirmedConnection.h"

#include "observability/EventLog.h"

#include <utility>

namespace auburndoor {

ConfirmedConnection::ConfirmedConnection(std::string worker, std::unique_ptr<WorkerConnection> connection)
    : worker_(std::move(worker)), connection_(std::move(connection))
{
}

void ConfirmedConnection::start(const StartCommand &command, const LeaseDeadline &deadline, WorkerClient::CommandCallback callback)
{
    ++pendingCount_;
    sendStart(command,
              deadline,
              false,
              [self = shared_from_this(), callback = std::move(callback)](const WorkerClient::Reply &reply) {
                  --self->pendingCount_;
                  callback(reply);
              });
}

void ConfirmedConnection::sendStart(const StartCommand &command,
                                    const LeaseDeadline &deadline,
                                    bool isRepeated,
                                    const WorkerClient::CommandCallback &callback)
{
    const auto self = shared_from_this();
    const auto send = [self, command, deadline, isRepeated, callback](ConnectionNumber boundTo) {
        self->connection_->start(
            command, deadline.time, boundTo, [self, command, deadline, isRepeated, callback](const ConnectionReply &reply) {
                if (reply.isConnectionClosed && self->mayRepeat(isRepeated)) {
                    self->sendStart(command, deadline, true, callback);
                    return;
                }
                callback(reply.reply);
            });
    };
    const auto refuse = [self, deadline, callback](const WorkerClient::Reply &reply, const TaskReport &report) {
        if (reply.outcome == CommandOutcome::Accepted) {
            self->logWithheld("start", deadline.incarnation, report.incarnation);
            callback({ CommandOutcome::OtherIncarnation, "the worker has restarted" });
            return;
        }
        // The lost request is that for the report.
        const bool isUnknown = reply.outcome == CommandOutcome::Unknown;
        callback({ isUnknown ? CommandOutcome::NotSent : reply.outcome, reply.detail, reply.workerClock });
    };
    sendConfirmed({ deadline.incarnation, send, refuse });
}

void ConfirmedConnection::stop(const TaskName &task, std::int64_t attempt, WorkerClient::CommandCallback callback)
{
    connection_->stop(task, attempt, countReply(std::move(callback)));
}

void ConfirmedConnection::throttle(const TaskName &task,
                                   std::int64_t attempt,
                                   int percent,
                                   WorkerClient::CommandCallback callback)
{
    connection_->throttle(task, attempt, percent, countReply(std::move(callback)));
}

WorkerConnection::CommandCallback ConfirmedConnection::countReply(WorkerClient::CommandCallback callback)
{
    ++pendingCount_;
    return [self = shared_from_this(), callback = std::move(callback)](const ConnectionReply &reply) {
        --self->pendingCount_;
        callback(reply.reply);
    };
}

void ConfirmedConnection::readReport(const ReportRequest &request, WorkerClient::ReportCallback callback)
{
    ++pendingCount_;
    sendReportRequest(request,
                      false,
                      [self = shared_from_this(), callback = std::move(callback)](const WorkerClient::Reply &reply,
                                                                                  const TaskReport &report) {
                          --self->pendingCount_;
                          callback(reply, report);
                      });
}

void ConfirmedConnection::sendReportRequest(const ReportRequest &request,
                                            bool isRepeated,
                                            const WorkerClient::ReportCallback &callback)
{
    const auto self = shared_from_this();
    const auto send = [self, request, isRepeated, callback](ConnectionNumber boundTo) {
        self->connection_->readReport(
            request,
            boundTo,
            [self, request, isRepeated, callback](const ConnectionReply &reply, const TaskReport &report) {
                self->noteReport(reply, report);
                if (reply.isConnectionClosed && self->mayRepeat(isRepeated)) {
                    self->sendReportRequest(request, true, callback);
                    return;
                }
                callback(reply.reply, report);
            });
    };
    if (request.acknowledged == 0 && !request.deadline) {
        send(anyConnection);
        return;
    }
    const auto refuse = [self, request, callback](const WorkerClient::Reply &reply, const TaskReport &report) {
        if (reply.outcome == CommandOutcome::Accepted) {
            self->logWithheld(request.deadline ? "renewal" : "acknowledgement", request.incarnation, report.incarnation);
        }
        callback(reply, report);
    };
    sendConfirmed({ request.incarnation, send, refuse });
}

void ConfirmedConnection::update(const WorkerEntry &entry)
{
    connection_->update(entry);
}

void ConfirmedConnection::close()
{
    // Callbacks of requests in flight keep this object, but the connection is closed now.
    connection_.reset();
}

bool ConfirmedConnection::isConfirmedFor(std::int64_t incarnation) const
{
    return incarnation_ == incarnation;
}

int ConfirmedConnection::pendingCount() const
{
    return pendingCount_;
}

void ConfirmedConnection::sendConfirmed(WaitingCommand command)
{
    if (isConfirmedFor(command.incarnation) && !isConfirming_) {
        command.send(number_);
        return;
    }
    waiting_.push_back(std::move(command));
    if (!std::exchange(isConfirming_, true)) {
        connection_->readReport(
            {}, anyConnection, [self = shared_from_this()](const ConnectionReply &reply, const TaskReport &report) {
                self->onConfirmation(reply, report);
            });
    }
}

void ConfirmedConnection::onConfirmation(const ConnectionReply &reply, const TaskReport &report)
{
    isConfirming_ = false;
    noteReport(reply, report);
    for (const auto &command : std::exchange(waiting_, {})) {
        if (!connection_) {
            command.refuse({ CommandOutcome::NotSent, "the channel was closed" }, {});
        } else if (isConfirmedFor(command.incarnation)) {
            command.send(number_);
        } else {
            command.refuse(reply.reply, report);
        }
    }
}

void ConfirmedConnection::noteReport(const ConnectionReply &reply, const TaskReport &report)
{
    const bool isAccepted = reply.reply.outcome == CommandOutcome::Accepted && reply.connection != anyConnection;
    number_ = isAccepted ? reply.connection : anyConnection;
    incarnation_ = isAccepted ? report.incarnation : unconfirmed;
}

bool ConfirmedConnection::mayRepeat(bool isRepeated)
{
    incarnation_ = unconfirmed;
    return !isRepeated && connection_ != nullptr;
}

void ConfirmedConnection::logWithheld(const char *command, std::int64_t incarnation, std::int64_t reported) const
{
    EventLog::writeBurst(
        "worker.command_withheld",
        { { "worker", worker_ }, { "why", command }, { "born", reported }, { "expected_born", incarnation } });
}

} // namespace auburndoor
