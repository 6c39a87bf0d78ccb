#include "workload/LeasedWorkerClient.h"

#include "workload/WorkerChannel.h"
#include "workload/WorkerLease.h"

namespace auburndoor {

/** Shared with the callbacks of commands in flight. */
struct LeasedWorkerClient::State
{
    /** Records the worker's clock, unless it may be that of a former incarnation. @param readIn the incarnation that it was read in
     */
    void updateClock(const Reply &reply, std::int64_t readIn)
    {
        if (reply.workerClock && readIn == incarnation) {
            lease.updateClock(*reply.workerClock);
        }
    }

    WorkerLease lease;
    std::int64_t incarnation = 0;
};

LeasedWorkerClient::LeasedWorkerClient(Timers &timers,
                                       const WorkerEntry &entry,
                                       std::unique_ptr<WorkerChannel> channel,
                                       Milliseconds maxLease)
    : state_(std::make_shared<State>(State { WorkerLease(timers, maxLease), entry.incarnation })), channel_(std::move(channel))
{
}

LeasedWorkerClient::~LeasedWorkerClient() = default;

WorkerClient::CommandCallback LeasedWorkerClient::recordClock(CommandCallback callback) const
{
    return [state = state_, incarnation = state_->incarnation, callback = std::move(callback)](const Reply &reply) {
        state->updateClock(reply, incarnation);
        callback(reply);
    };
}

void LeasedWorkerClient::start(const StartCommand &command, Milliseconds lease, CommandCallback callback)
{
    auto onReply = [state = state_, incarnation = state_->incarnation, callback = std::move(callback)](const Reply &reply) {
        if (reply.outcome == CommandOutcome::Accepted && incarnation != state->incarnation) {
            // Either incarnation may have accepted it: a report that is requested from now on decides.
            callback({ CommandOutcome::Unknown, "the worker has restarted since the start was sent" });
        } else {
            callback(reply);
        }
    };
    channel_->start(command, state_->lease.grant(lease), recordClock(std::move(onReply)));
}

void LeasedWorkerClient::stop(const TaskName &task, std::int64_t attempt, CommandCallback callback)
{
    channel_->stop(task, attempt, recordClock(std::move(callback)));
}

void LeasedWorkerClient::throttle(const TaskName &task, std::int64_t attempt, int percent, CommandCallback callback)
{
    channel_->throttle(task, attempt, percent, recordClock(std::move(callback)));
}

void LeasedWorkerClient::renewLeases(std::int64_t acknowledged, Milliseconds lease, Milliseconds maxWait, ReportCallback callback)
{
    ReportRequest request { acknowledged, state_->incarnation, std::nullopt, maxWait };
    if (state_->lease.isClockKnown() && lease > Milliseconds(0)) {
        request.deadline = state_->lease.grant(lease);
    }
    channel_->readReport(request,
                         [state = state_, incarnation = state_->incarnation, callback = std::move(callback)](
                             const Reply &reply, const TaskReport &report) {
                             state->updateClock(reply, report.incarnation != 0 ? report.incarnation : incarnation);
                             callback(reply, report);
                         });
}

TimePoint LeasedWorkerClient::leaseEnd() const
{
    return state_->lease.end();
}

void LeasedWorkerClient::update(const WorkerEntry &entry)
{
    if (entry.incarnation != state_->incarnation) {
        state_->incarnation = entry.incarnation;
        state_->lease.resetClock();
    }
    channel_->update(entry);
}

} // namespace auburndoor
