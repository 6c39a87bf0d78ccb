#include "workload/ConfirmedConnection.h"

#include "net/Timers.h"
#include "observability/EventLog.h"

#include <utility>

namespace auburndoor {

ConfirmedConnection::ConfirmedConnection(Timers &timers, std::string worker, std::unique_ptr<WorkerConnection> connection)
    : timers_(timers), worker_(std::move(worker)), connection_(std::move(connection))
{
}

TimePoint ConfirmedConnection::newSendBy() const
{
    return timers_.bootNow() + maxDelayBeforeSending;
}

void ConfirmedConnection::start(const StartCommand &command, const LeaseDeadline &deadline, WorkerClient::CommandCallback callback)
{
    ++pendingCount_;
    sendStart(command,
              deadline,
              newSendBy(),
              [self = shared_from_this(), callback = std::move(callback)](const WorkerClient::Reply &reply) {
                  --self->pendingCount_;
                  callback(reply);
              });
}

void ConfirmedConnection::sendStart(const StartCommand &command,
                                    const LeaseDeadline &deadline,
                                    TimePoint sendBy,
                                    const WorkerClient::CommandCallback &callback)
{
    const auto self = shared_from_this();
    const auto send = [self, command, deadline, sendBy, callback](ConnectionNumber boundTo) {
        self->connection_->start(
            command, deadline.time, boundTo, [self, command, deadline, sendBy, callback](const ConnectionReply &reply) {
                if (reply.isConnectionClosed && self->connection_) {
                    self->incarnation_ = anyIncarnation;
                    self->sendStart(command, deadline, sendBy, callback);
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
    sendConfirmed({ deadline.incarnation, sendBy, send, refuse });
}

void ConfirmedConnection::stop(const TaskName &task, std::int64_t attempt, WorkerClient::CommandCallback callback)
{
    connection_->stop(task, attempt, countReply(std::move(callback)));
}

void ConfirmedConnection::throttle(const TaskName &task, std::int64_t attempt, int percent, WorkerClient::CommandCallback callback)
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
    sendReportRequest(
        request,
        false,
        [self = shared_from_this(), callback = std::move(callback)](const WorkerClient::Reply &reply, const TaskReport &report) {
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
        const auto replyDueAt = self->timers_.bootNow() + request.maxWait + maxDelayBeforeSending;
        const auto onReply = [self, request, boundTo, isRepeated, replyDueAt, callback](const ConnectionReply &reply,
                                                                                        const TaskReport &report) {
            self->noteReport(reply, report);
            if (boundTo != anyConnection && !isRepeated && self->mayRepeat(reply, replyDueAt)) {
                auto repeated = request;
                repeated.maxWait = Milliseconds(0);
                self->sendReportRequest(repeated, true, callback);
                return;
            }
            callback(reply.reply, report);
        };
        self->connection_->readReport(request, boundTo, onReply);
    };
    if (request.acknowledged == 0 && !request.deadline) {
        send(anyConnection);
        return;
    }
    const auto refuse = [self, request, isRepeated, callback](const WorkerClient::Reply &reply, const TaskReport &report) {
        const bool isOtherIncarnation = reply.outcome == CommandOutcome::Accepted;
        if (isOtherIncarnation) {
            self->logWithheld(request.deadline ? "renewal" : "acknowledgement", request.incarnation, report.incarnation);
        }
        if (isOtherIncarnation && isRepeated) {
            // The request was lost with the incarnation that it was for.
            callback({ CommandOutcome::Unknown, "the worker has restarted" }, {});
            return;
        }
        callback(reply, report);
    };
    sendConfirmed({ request.incarnation, newSendBy(), send, refuse });
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

bool ConfirmedConnection::isIdle() const
{
    return pendingCount_ == 0;
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
        } else if (command.sendBy <= timers_.bootNow()) {
            command.refuse({ CommandOutcome::NotSent, "the incarnation was not confirmed in time" }, {});
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
    if (isAccepted && reply.connection == number_ && report.incarnation != incarnation_) {
        EventLog::write("worker.connection_survived_restart",
                        { { "worker", worker_ }, { "born", report.incarnation }, { "former_born", incarnation_ } });
    }
    number_ = isAccepted ? reply.connection : anyConnection;
    incarnation_ = isAccepted ? report.incarnation : anyIncarnation;
}

bool ConfirmedConnection::mayRepeat(const ConnectionReply &reply, TimePoint replyDueAt) const
{
    // Bound to the incarnation again, the request has the same effect if it is carried out twice.
    const bool isLost = reply.isConnectionClosed || reply.reply.outcome == CommandOutcome::Unknown;
    return isLost && connection_ != nullptr && timers_.bootNow() < replyDueAt;
}

void ConfirmedConnection::logWithheld(const char *command, std::int64_t incarnation, std::int64_t reported) const
{
    EventLog::writeBurst("worker.command_withheld",
                         { { "worker", worker_ }, { "why", command }, { "born", reported }, { "expected_born", incarnation } });
}

} // namespace auburndoor
