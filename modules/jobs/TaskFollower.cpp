#include "jobs/TaskFollower.h"

#include "core/Failure.h"
#include "jobs/JobDecisions.h"
#include "observability/Metrics.h"

namespace auburndoor {

namespace {

/** Between questions after a task whose worker is silent or unknown. */
constexpr Milliseconds silentPeriod { 2000 };
/** A longer gap between two reports of silence breaks the row: the lease may have been renewed in it. */
constexpr Milliseconds silentGap { 15'000 };

} // namespace

TaskFollower::TaskFollower(OwnerGateway &gateway, Clock &clock, Metrics &metrics)
    : gateway_(gateway), clock_(clock), metrics_(metrics)
{
}

void TaskFollower::query(FollowedTask &task, const InstanceId &owner, const WorkerId &worker)
{
    if (isKnownSilent(task, worker)) {
        return;
    }
    Failure failure;
    const auto report = gateway_.query(owner, worker, task.id, failure);
    if (!report) {
        enterFailure(task, worker, failure);
    } else if (report->state == TaskState::Unknown) {
        // A start may still be under way to the worker; the cancel makes it refuse that start.
        task.isRecalled = true;
        cancel(task, owner, worker);
    } else {
        enter(task, *report);
    }
}

void TaskFollower::enterRunning(FollowedTask &task)
{
    TaskStatus report;
    report.id = task.id;
    report.state = TaskState::Running;
    enter(task, report);
}

void TaskFollower::cancel(FollowedTask &task, const InstanceId &owner, const WorkerId &worker)
{
    if (isKnownSilent(task, worker)) {
        return;
    }
    Failure failure;
    const auto report = gateway_.cancel(owner, worker, task.id, failure);
    if (report) {
        enter(task, *report);
    } else {
        enterFailure(task, worker, failure);
    }
}

bool TaskFollower::isKnownSilent(FollowedTask &task, const WorkerId &worker)
{
    const auto known = silentWorkers_.find(worker);
    if (known == silentWorkers_.end()) {
        return false;
    }
    if (clock_.now() >= known->second + silentPeriod / 2) {
        silentWorkers_.erase(known);
        return false;
    }
    enterSilence(task, known->second);
    return true;
}

void TaskFollower::enter(FollowedTask &task, const TaskStatus &report)
{
    const auto now = clock_.now();
    if (report.id != task.id) {
        metrics_.count("crossed_answers_total");
        task.nextQuery = now + silentPeriod;
        return;
    }
    const auto age = std::chrono::duration_cast<Milliseconds>(now - task.since);
    task.silentSince.reset();
    task.isRunning = report.state == TaskState::Running;
    task.nextQuery = now + queryPeriod(age);
    if (isDefinite(report.state)) {
        task.report = report;
        task.ranFor = age;
    }
}

void TaskFollower::enterFailure(FollowedTask &task, const WorkerId &worker, const Failure &failure)
{
    if (isSilence(failure, worker)) {
        // Taken after the answer, so that the count of the silence begins late rather than early.
        silentWorkers_[worker] = clock_.now();
        enterSilence(task, clock_.now());
        return;
    }
    task.silentSince.reset();
    task.nextQuery = clock_.now() + silentPeriod;
    metrics_.countRetry(failure);
}

void TaskFollower::enterSilence(FollowedTask &task, TimePoint time)
{
    if (!task.silentSince || time > task.lastSilent + silentGap) {
        task.silentSince = time;
    }
    task.lastSilent = time;
    task.nextQuery = clock_.now() + silentPeriod;
    if (task.lastSilent - *task.silentSince >= taskLease + leaseMargin) {
        metrics_.count("job_tasks_lost_total");
        task.report = TaskStatus { task.id, TaskState::Stopped, {}, {}, "the worker was lost", {} };
        task.ranFor = std::chrono::duration_cast<Milliseconds>(*task.silentSince - task.since);
    }
}

} // namespace auburndoor
