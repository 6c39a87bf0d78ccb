#include "workload/ConfirmingWorkerChannel.h"

#include <algorithm>

namespace auburndoor {

/** Shared with the callbacks of requests in flight. */
struct ConfirmingWorkerChannel::State : std::enable_shared_from_this<ConfirmingWorkerChannel::State>
{
    /** Sends the request, and records which incarnation has replied. */
    void send(const ReportRequest &request, WorkerClient::ReportCallback callback)
    {
        channel->readReport(request,
                            [self = shared_from_this(), callback = std::move(callback)](const WorkerClient::Reply &reply,
                                                                                        const TaskReport &report) {
                                const bool isAccepted = reply.outcome == CommandOutcome::Accepted;
                                self->confirmedIncarnation = isAccepted ? report.incarnation : unconfirmed;
                                callback(reply, report);
                            });
    }

    static constexpr std::int64_t unconfirmed = -1;

    std::unique_ptr<WorkerChannel> channel;
    /** The incarnation in the last report; unconfirmed if that request failed or there was none. */
    std::int64_t confirmedIncarnation = unconfirmed;
    bool isClosed = false;
};

ConfirmingWorkerChannel::ConfirmingWorkerChannel(std::unique_ptr<WorkerChannel> channel) : state_(std::make_shared<State>())
{
    state_->channel = std::move(channel);
}

ConfirmingWorkerChannel::~ConfirmingWorkerChannel()
{
    // Callbacks of requests in flight keep the state, but the connections are closed now.
    state_->isClosed = true;
    state_->channel.reset();
}

void ConfirmingWorkerChannel::start(const StartCommand &command, Milliseconds deadline, WorkerClient::CommandCallback callback)
{
    state_->channel->start(command, deadline, std::move(callback));
}

void ConfirmingWorkerChannel::stop(const TaskName &task, std::int64_t attempt, WorkerClient::CommandCallback callback)
{
    state_->channel->stop(task, attempt, std::move(callback));
}

void ConfirmingWorkerChannel::throttle(const TaskName &task,
                                       std::int64_t attempt,
                                       int percent,
                                       WorkerClient::CommandCallback callback)
{
    state_->channel->throttle(task, attempt, percent, std::move(callback));
}

void ConfirmingWorkerChannel::readReport(const ReportRequest &request, WorkerClient::ReportCallback callback)
{
    if (request.acknowledged == 0 || state_->confirmedIncarnation == request.incarnation) {
        state_->send(request, std::move(callback));
        return;
    }
    // A request that waits at all uses the same connection as the one that follows it.
    const ReportRequest probe { 0, request.incarnation, request.deadline, std::min(request.maxWait, Milliseconds(1)) };
    state_->send(
        probe,
        [state = state_, request, callback = std::move(callback)](const WorkerClient::Reply &reply, const TaskReport &report) {
            const bool isConfirmed = state->confirmedIncarnation == request.incarnation;
            if (isConfirmed && !state->isClosed) {
                state->send(request, callback);
            } else if (state->isClosed) {
                callback({ CommandOutcome::Unknown, "the channel was closed" }, {});
            } else {
                callback(reply, report);
            }
        });
}

void ConfirmingWorkerChannel::update(const WorkerEntry &entry)
{
    state_->channel->update(entry);
}

} // namespace auburndoor
