#include "workload/LeasedWorkerClient.h"

#include "net/Timers.h"
#include "observability/EventLog.h"
#include "workload/WorkerChannel.h"
#include "workload/WorkerLease.h"

#include <algorithm>
#include <utility>

namespace auburndoor {

/** Shared with the callbacks of commands in flight. */
struct LeasedWorkerClient::State
{
    State(Timers &timers, const WorkerEntry &entry, Milliseconds maxLease)
        : timers(timers), lease(timers, maxLease), worker(entry.id), incarnation(entry.incarnation)
    {
    }

    /** Records the worker's clock, unless it may be that of a former incarnation. @param readIn the incarnation that it was read in
     */
    void updateClock(const Reply &reply, std::int64_t readIn)
    {
        if (reply.workerClock) {
            noteIncarnation(readIn, *reply.workerClock);
        }
        if (reply.workerClock && readIn == incarnation) {
            lease.updateClock(*reply.workerClock);
        }
    }

    /** Logs the first reading of the clock of a later incarnation than the one read before. */
    void noteIncarnation(std::int64_t readIn, Milliseconds workerClock)
    {
        const auto former = std::exchange(readIncarnation, std::max(readIncarnation, readIn));
        if (former < 0 || readIn <= former) {
            return;
        }
        // The clock of an incarnation begins at zero: a lease granted after that was computed on the clock of the former one.
        const auto startedAt = timers.now() - workerClock;
        const auto sinceStart = std::chrono::duration_cast<Milliseconds>(lease.lastGrantAt() - startedAt);
        EventLog::write("worker.clock_restarted",
                        { { "worker", worker },
                          { "born", readIn },
                          { "former_born", former },
                          { "clock_ms", workerClock.count() },
                          { "why", sinceStart > Milliseconds(0) ? "granted since" : "none granted since" },
                          { "granted_at_clock_ms", sinceStart.count() } });
    }

    Timers &timers;
    WorkerLease lease;
    std::string worker;
    std::int64_t incarnation = 0;
    /** The latest incarnation whose clock was read; negative before the first reading. */
    std::int64_t readIncarnation = -1;
};

LeasedWorkerClient::LeasedWorkerClient(Timers &timers,
                                       const WorkerEntry &entry,
                                       std::unique_ptr<WorkerChannel> channel,
                                       Milliseconds maxLease)
    : state_(std::make_shared<State>(timers, entry, maxLease)), channel_(std::move(channel))
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
    channel_->start(command, { state_->incarnation, state_->lease.grant(lease) }, recordClock(std::move(onReply)));
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
