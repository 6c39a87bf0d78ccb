#include "pipeline/TaskResolver.h"

#include "pipeline/TaskAccess.h"

#include <algorithm>

namespace auburndoor {

namespace {

constexpr Milliseconds questionPeriod { 50 };

Outcome notRun(const WorkerId &worker)
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

Outcome TaskResolver::resolve(const WorkerId &worker, const TaskId &task, Milliseconds grace, TimePoint deadline)
{
    const auto graceEnd = clock_.now() + grace;
    Failure failure;
    while (clock_.now() < deadline) {
        auto state = tasks_.query(worker, task, deadline, failure);
        if (state && state->state == TaskState::Unknown && clock_.now() >= graceEnd) {
            state = tasks_.cancel(worker, task, deadline, failure);
        }
        if (state) {
            if (auto outcome = decide(*state, worker)) {
                return *outcome;
            }
            failure = {
                FailureStep::Collect, worker.text(), FailureReason::DeadlinePassed, "the task was still running at the deadline"
            };
        }
        pause(deadline);
    }
    if (failure.reason == FailureReason::None) {
        failure = {
            FailureStep::Collect, worker.text(), FailureReason::TimedOut, "the deadline passed before the worker could be asked"
        };
    }
    return { OutcomeStatus::Unknown, {}, failure, {}, worker, {} };
}

std::optional<Outcome> TaskResolver::decide(const TaskStatus &state, const WorkerId &worker) const
{
    switch (state.state) {
    case TaskState::Done:
        return Outcome { OutcomeStatus::Answered, state.answer, {}, {}, worker, {} };
    case TaskState::Failed:
        return Outcome { OutcomeStatus::TaskFailed, state.answer, {}, {}, worker, {} };
    case TaskState::NeverStarted:
        return notRun(worker);
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

void TaskResolver::pause(TimePoint deadline)
{
    std::unique_lock lock(mutex_);
    clock_.waitUntil(lock, condition_, std::min(deadline, clock_.now() + questionPeriod), [] { return false; });
}

} // namespace auburndoor
