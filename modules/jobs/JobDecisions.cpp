#include "jobs/JobDecisions.h"

#include "core/Failure.h"

#include <algorithm>

namespace auburndoor {

namespace {

constexpr Milliseconds shortestQueryPeriod { 250 };
constexpr Milliseconds longestQueryPeriod { 10'000 };
constexpr int queryPeriodDivisor = 8;
constexpr Milliseconds firstRetryDelayLimit { 250 };
constexpr int maximumDoublings = 6;

bool hasTaskIn(const Job &job, TaskPhase phase)
{
    return std::any_of(job.tasks.begin(), job.tasks.end(), [phase](const TaskRecord &task) { return task.phase == phase; });
}

/** True for a gang with both assigned and waiting tasks. Its tasks are assigned all at once, so the waiting ones have stopped. */
bool isIncompleteGang(const Job &job)
{
    return job.declaration.kind == JobKind::Gang && hasTaskIn(job, TaskPhase::Assigned) && hasTaskIn(job, TaskPhase::Waiting);
}

void countFailure(Job &job, std::size_t index, const std::string &error, Milliseconds runTime)
{
    auto &task = job.tasks[index];
    if (job.declaration.kind == JobKind::Service && runTime >= stableRunTime) {
        task.failures = 0;
    }
    ++task.failures;
    if (task.failures >= job.declaration.maximumAttempts && job.phase == JobPhase::Active) {
        job.phase = JobPhase::Failing;
        job.reason = "task " + std::to_string(index) + " failed " + std::to_string(task.failures) + " times; last on "
                     + task.worker.text() + ": " + error;
    }
}

} // namespace

std::vector<std::size_t> selectTasksToPlace(const Job &job,
                                            std::span<const TimePoint> earliestPlacements,
                                            TimePoint now,
                                            std::size_t taskLimit)
{
    std::vector<std::size_t> result;
    const bool isGang = job.declaration.kind == JobKind::Gang;
    if (job.phase != JobPhase::Active || (isGang && hasTaskIn(job, TaskPhase::Assigned))) {
        return result;
    }
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        if (job.tasks[index].phase != TaskPhase::Waiting) {
            continue;
        }
        if (earliestPlacements[index] > now) {
            if (isGang) {
                return {};
            }
            continue;
        }
        if (isGang || result.size() < taskLimit) {
            result.push_back(index);
        }
    }
    return result;
}

std::vector<std::size_t> selectTasksToCancel(const Job &job)
{
    std::vector<std::size_t> result;
    if (!job.isEnding() && !isIncompleteGang(job)) {
        return result;
    }
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        if (job.tasks[index].phase == TaskPhase::Assigned) {
            result.push_back(index);
        }
    }
    return result;
}

void applyReport(Job &job, std::size_t index, const TaskStatus &report, bool isStopOrdered, Milliseconds runTime)
{
    auto &task = job.tasks[index];
    if (task.phase != TaskPhase::Assigned || report.id != job.taskId(index) || !isTerminal(report.state)) {
        return;
    }
    const bool isService = job.declaration.kind == JobKind::Service;
    // A gang with a waiting task is stopped as a whole; the failure is counted for the task that was lost first.
    const bool hasLostOtherTask = job.declaration.kind == JobKind::Gang && hasTaskIn(job, TaskPhase::Waiting);
    task.phase = TaskPhase::Waiting;
    task.answer = report.answer;
    switch (report.state) {
    case TaskState::Done:
        if (isService) {
            task.failures = 0;
        } else {
            task.phase = TaskPhase::Done;
        }
        break;
    case TaskState::Failed:
        countFailure(job, index, report.answer, runTime);
        break;
    case TaskState::Stopped:
        // The worker stopped the task or was lost. A service task is started again without counting a failure.
        if (!isStopOrdered && !hasLostOtherTask && !isService) {
            countFailure(job, index, report.answer, runTime);
        }
        break;
    default:
        break;
    }
}

void endJobIfFinished(Job &job, WallTime now)
{
    if (job.hasEnded() || hasTaskIn(job, TaskPhase::Assigned)) {
        return;
    }
    if (job.isEnding()) {
        for (auto &task : job.tasks) {
            task.phase = task.phase == TaskPhase::Waiting ? TaskPhase::Cancelled : task.phase;
        }
        job.phase = job.phase == JobPhase::Cancelling ? JobPhase::Cancelled : JobPhase::Failed;
    } else if (!hasTaskIn(job, TaskPhase::Waiting)) {
        job.phase = JobPhase::Done;
    }
    if (job.hasEnded()) {
        job.ended = now;
    }
}

void assignTask(Job &job, std::size_t index, const WorkerId &worker, const InstanceId &owner)
{
    auto &task = job.tasks[index];
    task.phase = TaskPhase::Assigned;
    ++task.assignments;
    task.worker = worker;
    task.owner = owner;
    task.answer.clear();
}

bool isTerminal(TaskState state)
{
    return state != TaskState::Unknown && state != TaskState::Running;
}

bool isWorkerUnresponsive(const Failure &failure, const WorkerId &worker)
{
    return failure.peer == worker.text()
           && (failure.reason == FailureReason::ConnectionFailed || failure.reason == FailureReason::ConnectionLost
               || failure.reason == FailureReason::TimedOut);
}

Milliseconds calculateQueryPeriod(Milliseconds age)
{
    return std::clamp(age / queryPeriodDivisor, shortestQueryPeriod, longestQueryPeriod);
}

Milliseconds calculateRetryDelayLimit(Priority priority, int attempt)
{
    // Urgent tasks have to start within 2.8 s after capacity becomes free, so their limit is well below that.
    const Milliseconds longestDelay { priority == Priority::Urgent ? 1000 : priority == Priority::Normal ? 2000 : 5000 };
    return std::min(firstRetryDelayLimit * (1 << std::min(attempt, maximumDoublings)), longestDelay);
}

std::vector<std::size_t> matchPlaces(const Job &job, std::span<const std::size_t> tasks, std::span<const WorkerId> workers)
{
    std::vector<std::size_t> result(tasks.size(), workers.size());
    std::vector<bool> isPlaceTaken(workers.size(), false);
    const auto assignFirstFree = [&](std::size_t position, bool mustChangeWorker) {
        const auto &task = job.tasks[tasks[position]];
        for (std::size_t place = 0; place < workers.size() && result[position] == workers.size(); ++place) {
            if (!isPlaceTaken[place] && (!mustChangeWorker || workers[place] != task.worker)) {
                isPlaceTaken[place] = true;
                result[position] = place;
            }
        }
    };
    // Tasks that were assigned before choose first; the remaining places go to the other tasks in order.
    for (std::size_t position = 0; position < tasks.size(); ++position) {
        if (job.tasks[tasks[position]].assignments > 0) {
            assignFirstFree(position, true);
        }
    }
    for (std::size_t position = 0; position < tasks.size(); ++position) {
        if (result[position] == workers.size()) {
            assignFirstFree(position, false);
        }
    }
    return result;
}

} // namespace auburndoor
