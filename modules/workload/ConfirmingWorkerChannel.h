#pragma once

#include "workload/WorkerChannel.h"

namespace auburndoor {

/**
    A channel that sends an acknowledgement only after its worker has reported, over the same channel, the incarnation that the
    acknowledgement is for.

    A restarted worker numbers its finished runs from 1 again, and would forget unread ones if it got a number of its earlier
    incarnation. A channel that has just been opened, or on which a report has failed, may lead to a restarted worker: it first
    reads a report without an acknowledgement.
*/
class ConfirmingWorkerChannel : public WorkerChannel
{
public:
    explicit ConfirmingWorkerChannel(std::unique_ptr<WorkerChannel> channel);
    ~ConfirmingWorkerChannel() override;

    void start(const StartCommand &command, Milliseconds deadline, WorkerClient::CommandCallback callback) override;
    void stop(const TaskName &task, std::int64_t attempt, WorkerClient::CommandCallback callback) override;
    void throttle(const TaskName &task, std::int64_t attempt, int percent, WorkerClient::CommandCallback callback) override;
    void readReport(const ReportRequest &request, WorkerClient::ReportCallback callback) override;
    void update(const WorkerEntry &entry) override;

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace auburndoor
