#include "pipeline/TaskResolver.h"

#include "pipeline/TaskAccess.h"

#include <algorithm>

namespace auburndoor {

namespace {

constexpr Milliseconds queryPeriod { 50 };

Outcome makeNotRunOutcome(const WorkerId &worker)
{
    return { OutcomeStatus::NotRun,
             {},
             { FailureStep::Collect, worker.text(), FailureReason::ConnectionLost, "the task was never started" },
             {},
             worker,
             {} };
}

} // namespace

TaskResolver::TaskResolver(Clock &clock, TaskAccess &tasks) : clock_(clock), tasks_(tasks)
{
}

Outcome TaskResolver::resolve(const WorkerId &worker, const TaskId &task, Milliseconds startGracePeriod, TimePoint deadline)
{
    const auto startGracePeriodEnd = clock_.now() + startGracePeriod;
    Failure failure;
    while (clock_.now() < deadline) {
        auto status = tasks_.query(worker, task, deadline, failure);
        if (status && status->state == TaskState::Unknown && clock_.now() >= startGracePeriodEnd) {
            status = tasks_.cancel(worker, task, deadline, failure);
        }
        if (status) {
            if (auto outcome = evaluateStatus(*status, worker)) {
                return *outcome;
            }
            failure = {
                FailureStep::Collect, worker.text(), FailureReason::DeadlinePassed, "the task had not ended at the deadline"
            };
        }
        waitForNextQuery(deadline);
    }
    if (failure.reason == FailureReason::None) {
        failure = {
            FailureStep::Collect, worker.text(), FailureReason::TimedOut, "the deadline passed before the worker could be asked"
        };
    }
    return { OutcomeStatus::Unknown, {}, failure, {}, worker, {} };
}

std::optional<Outcome> TaskResolver::evaluateStatus(const TaskStatus &status, const WorkerId &worker) const
{
    switch (status.state) {
    case TaskState::Done:
        return Outcome { OutcomeStatus::Answered, status.answer, {}, {}, worker, {} };
    case TaskState::Failed:
        return Outcome { OutcomeStatus::TaskFailed, status.answer, {}, {}, worker, {} };
    case TaskState::NeverStarted:
        return makeNotRunOutcome(worker);
    case TaskState::Stopped:
        return Outcome { OutcomeStatus::Unknown,
                         {},
                         { FailureStep::Collect, worker.text(), FailureReason::Cancelled, "the task was stopped after its start" },
                         {},
                         worker,
                         {} };
    case TaskState::Running:
    case TaskState::Unknown:
        break;
    }
    return std::nullopt;
}

void TaskResolver::waitForNextQuery(TimePoint deadline)
{
    std::unique_lock lock(mutex_);
    clock_.waitUntil(lock, condition_, std::min(deadline, clock_.now() + queryPeriod), [] { return false; });
}

} // namespace auburndoor
