#pragma once

#include "workload/WorkerConnection.h"

#include <memory>
#include <utility>

namespace auburndoor {

/** A negative control: a channel that sends deadlines and acknowledgements to whichever incarnation its connection leads to. */
class UnconfirmedChannel : public WorkerChannel
{
public:
    UnconfirmedChannel(WorkerConnectionFactory &connections, const WorkerEntry &entry, std::int64_t fencingToken)
        : commandConnection_(connections.create(entry, fencingToken)), reportConnection_(connections.create(entry, fencingToken))
    {
    }

    void start(const StartCommand &command, const LeaseDeadline &deadline, WorkerClient::CommandCallback callback) override
    {
        commandConnection_->start(command, deadline.time, 0, ignoreConnection(std::move(callback)));
    }
    void stop(const TaskName &task, std::int64_t attempt, WorkerClient::CommandCallback callback) override
    {
        commandConnection_->stop(task, attempt, ignoreConnection(std::move(callback)));
    }
    void throttle(const TaskName &task, std::int64_t attempt, int percent, WorkerClient::CommandCallback callback) override
    {
        commandConnection_->throttle(task, attempt, percent, ignoreConnection(std::move(callback)));
    }
    void readReport(const ReportRequest &request, WorkerClient::ReportCallback callback) override
    {
        reportConnection_->readReport(
            request, 0, [callback = std::move(callback)](const ConnectionReply &reply, const TaskReport &report) {
                callback(reply.reply, report);
            });
    }
    void update(const WorkerEntry &entry) override
    {
        commandConnection_->update(entry);
        reportConnection_->update(entry);
    }

private:
    static WorkerConnection::CommandCallback ignoreConnection(WorkerClient::CommandCallback callback)
    {
        return [callback = std::move(callback)](const ConnectionReply &reply) { callback(reply.reply); };
    }

    std::unique_ptr<WorkerConnection> commandConnection_;
    std::unique_ptr<WorkerConnection> reportConnection_;
};

} // namespace auburndoor
