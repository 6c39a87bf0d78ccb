#include "jobs/TaskTracker.h"

#include "core/Failure.h"
#include "jobs/JobDecisions.h"
#include "observability/Metrics.h"

namespace auburndoor {

namespace {

/** The time between queries of a task after a call that failed or was answered for another task. */
constexpr Milliseconds retryPeriod { 2000 };
/** A longer gap between two reports that a worker does not answer breaks the series: the lease may have been renewed meanwhile. */
constexpr Milliseconds longestReportGap { 15'000 };

} // namespace

TaskTracker::TaskTracker(OwnerGateway &gateway, Clock &clock, Metrics &metrics)
    : gateway_(gateway), clock_(clock), metrics_(metrics)
{
}

void TaskTracker::query(TrackedTask &task, const InstanceId &owner, const WorkerId &worker)
{
    if (skipIfUnresponsive(task, worker)) {
        return;
    }
    Failure failure;
    const auto report = gateway_.query(owner, worker, task.id, failure);
    if (!report) {
        applyFailure(task, worker, failure);
    } else if (report->state == TaskState::Unknown) {
        // The start may still reach the worker; after the cancel the worker refuses it.
        task.isStopOrdered = true;
        cancel(task, owner, worker);
    } else {
        applyReport(task, *report);
    }
}

void TaskTracker::markRunning(TrackedTask &task)
{
    TaskStatus report;
    report.id = task.id;
    report.state = TaskState::Running;
    applyReport(task, report);
}

void TaskTracker::cancel(TrackedTask &task, const InstanceId &owner, const WorkerId &worker)
{
    if (skipIfUnresponsive(task, worker)) {
        return;
    }
    Failure failure;
    const auto report = gateway_.cancel(owner, worker, task.id, failure);
    if (report) {
        applyReport(task, *report);
    } else {
        applyFailure(task, worker, failure);
    }
}

bool TaskTracker::skipIfUnresponsive(TrackedTask &task, const WorkerId &worker)
{
    const auto knownUnresponsive = unresponsiveWorkers_.find(worker);
    if (knownUnresponsive == unresponsiveWorkers_.end()) {
        return false;
    }
    if (clock_.now() >= knownUnresponsive->second + retryPeriod / 2) {
        unresponsiveWorkers_.erase(knownUnresponsive);
        return false;
    }
    applyUnresponsive(task, knownUnresponsive->second);
    return true;
}

void TaskTracker::applyReport(TrackedTask &task, const TaskStatus &report)
{
    const auto now = clock_.now();
    if (report.id != task.id) {
        metrics_.count("crossed_answers_total");
        task.nextQuery = now + retryPeriod;
        return;
    }
    const auto age = std::chrono::duration_cast<Milliseconds>(now - task.since);
    task.unresponsiveSince.reset();
    task.isRunning = report.state == TaskState::Running;
    task.nextQuery = now + calculateQueryPeriod(age);
    if (isTerminal(report.state)) {
        task.report = report;
        task.runTime = age;
    }
}

void TaskTracker::applyFailure(TrackedTask &task, const WorkerId &worker, const Failure &failure)
{
    if (isWorkerUnresponsive(failure, worker)) {
        // Read after the call returned, so that the unresponsive time is measured as too short rather than too long.
        unresponsiveWorkers_[worker] = clock_.now();
        applyUnresponsive(task, clock_.now());
        return;
    }
    task.unresponsiveSince.reset();
    task.nextQuery = clock_.now() + retryPeriod;
    metrics_.countRetry(failure);
}

void TaskTracker::applyUnresponsive(TrackedTask &task, TimePoint time)
{
    if (!task.unresponsiveSince || time > task.lastUnresponsive + longestReportGap) {
        task.unresponsiveSince = time;
    }
    task.lastUnresponsive = time;
    task.nextQuery = clock_.now() + retryPeriod;
    if (task.lastUnresponsive - *task.unresponsiveSince >= taskLease + leaseMargin) {
        metrics_.count("job_tasks_lost_total");
        task.report = TaskStatus { task.id, TaskState::Stopped, {}, {}, "the worker was lost", {} };
        task.runTime = std::chrono::duration_cast<Milliseconds>(*task.unresponsiveSince - task.since);
    }
}

} // namespace auburndoor
