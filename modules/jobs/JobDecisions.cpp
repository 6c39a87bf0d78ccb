#include "jobs/JobDecisions.h"

#include "core/Failure.h"

#include <algorithm>

namespace auburndoor {

namespace {

constexpr Milliseconds shortestQueryPeriod { 250 };
constexpr Milliseconds longestQueryPeriod { 10'000 };
constexpr int queriesPerAge = 8;
constexpr Milliseconds firstRetry { 250 };
constexpr int largestDoubling = 6;

bool isActive(const Job &job, TaskPhase phase)
{
    return std::any_of(job.tasks.begin(), job.tasks.end(), [phase](const TaskRecord &task) { return task.phase == phase; });
}

/** A gang with some tasks assigned and others waiting has lost a member: they were all assigned at once. */
bool isBrokenGang(const Job &job)
{
    return job.declaration.kind == JobKind::Gang && isActive(job, TaskPhase::Assigned) && isActive(job, TaskPhase::Waiting);
}

void countFailure(Job &job, std::size_t index, const std::string &what, Milliseconds ranFor)
{
    auto &task = job.tasks[index];
    if (job.declaration.kind == JobKind::Service && ranFor >= stableRun) {
        task.failures = 0;
    }
    ++task.failures;
    if (task.failures >= job.declaration.maximumAttempts && job.phase == JobPhase::Active) {
        job.phase = JobPhase::Failing;
        job.reason = "task " + std::to_string(index) + " failed " + std::to_string(task.failures) + " times; last on "
                     + task.worker.text() + ": " + what;
    }
}

} // namespace

std::vector<std::size_t> tasksToPlace(const Job &job, std::span<const TimePoint> notBefore, TimePoint now, std::size_t limit)
{
    std::vector<std::size_t> result;
    const bool isGang = job.declaration.kind == JobKind::Gang;
    if (job.phase != JobPhase::Active || (isGang && isActive(job, TaskPhase::Assigned))) {
        return result;
    }
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        if (job.tasks[index].phase != TaskPhase::Waiting) {
            continue;
        }
        if (notBefore[index] > now) {
            if (isGang) {
                return {};
            }
            continue;
        }
        if (isGang || result.size() < limit) {
            result.push_back(index);
        }
    }
    return result;
}

std::vector<std::size_t> tasksToCancel(const Job &job)
{
    std::vector<std::size_t> result;
    if (!job.isEnding() && !isBrokenGang(job)) {
        return result;
    }
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        if (job.tasks[index].phase == TaskPhase::Assigned) {
            result.push_back(index);
        }
    }
    return result;
}

void applyReport(Job &job, std::size_t index, const TaskStatus &report, bool isRecalled, Milliseconds ranFor)
{
    auto &task = job.tasks[index];
    if (task.phase != TaskPhase::Assigned || report.id != job.taskId(index) || !isDefinite(report.state)) {
        return;
    }
    const bool isService = job.declaration.kind == JobKind::Service;
    // The stop of a member follows from the loss of another one, which has been counted there.
    const bool isFollowing = job.declaration.kind == JobKind::Gang && isActive(job, TaskPhase::Waiting);
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
        countFailure(job, index, report.answer, ranFor);
        break;
    case TaskState::Stopped:
        // The worker or the loss of it ended the task; a service is simply started again elsewhere.
        if (!isRecalled && !isFollowing && !isService) {
            countFailure(job, index, report.answer, ranFor);
        }
        break;
    default:
        break;
    }
}

void settle(Job &job, WallTime now)
{
    if (job.hasEnded() || isActive(job, TaskPhase::Assigned)) {
        return;
    }
    if (job.isEnding()) {
        for (auto &task : job.tasks) {
            task.phase = task.phase == TaskPhase::Waiting ? TaskPhase::Cancelled : task.phase;
        }
        job.phase = job.phase == JobPhase::Cancelling ? JobPhase::Cancelled : JobPhase::Failed;
    } else if (!isActive(job, TaskPhase::Waiting)) {
        job.phase = JobPhase::Done;
    }
    if (job.hasEnded()) {
        job.ended = now;
    }
}

void assign(Job &job, std::size_t index, const WorkerId &worker, const InstanceId &owner)
{
    auto &task = job.tasks[index];
    task.phase = TaskPhase::Assigned;
    ++task.assignments;
    task.worker = worker;
    task.owner = owner;
    task.answer.clear();
}

bool isDefinite(TaskState state)
{
    return state != TaskState::Unknown && state != TaskState::Running;
}

bool isSilence(const Failure &failure, const WorkerId &worker)
{
    return failure.peer == worker.text()
           && (failure.reason == FailureReason::ConnectionFailed || failure.reason == FailureReason::ConnectionLost
               || failure.reason == FailureReason::TimedOut);
}

Milliseconds queryPeriod(Milliseconds age)
{
    return std::clamp(age / queriesPerAge, shortestQueryPeriod, longestQueryPeriod);
}

Milliseconds retryLimit(Priority priority, int attempt)
{
    // Urgent work is to start within 2.8 s of room, so its longest wait stays well below that.
    const Milliseconds longest { priority == Priority::Urgent ? 1000 : priority == Priority::Normal ? 2000 : 5000 };
    return std::min(firstRetry * (1 << std::min(attempt, largestDoubling)), longest);
}

std::vector<std::size_t> matchPlaces(const Job &job, std::span<const std::size_t> tasks, std::span<const WorkerId> workers)
{
    std::vector<std::size_t> result(tasks.size(), workers.size());
    std::vector<bool> isTaken(workers.size(), false);
    const auto take = [&](std::size_t position, bool isChoosy) {
        const auto &task = job.tasks[tasks[position]];
        for (std::size_t place = 0; place < workers.size() && result[position] == workers.size(); ++place) {
            if (!isTaken[place] && (!isChoosy || workers[place] != task.worker)) {
                isTaken[place] = true;
                result[position] = place;
            }
        }
    };
    // Tasks that were assigned before choose first; what is left goes to the others in order.
    for (std::size_t position = 0; position < tasks.size(); ++position) {
        if (job.tasks[tasks[position]].assignments > 0) {
            take(position, true);
        }
    }
    for (std::size_t position = 0; position < tasks.size(); ++position) {
        if (result[position] == workers.size()) {
            take(position, false);
        }
    }
    return result;
}

} // namespace auburndoor
