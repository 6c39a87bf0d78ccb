#include "dispatch/TaskPlacer.h"
#include "observability/EventLog.h"

#include <algorithm>
#include <limits>

namespace auburndoor {

namespace {

// The expected time until a preempted run is running again: its stop, a new advice request and the wait for capacity.
constexpr Milliseconds preemptionDelay { 2500 };

} // namespace

bool TaskPlacer::toleratesDelay(const std::string &worker, const RunKey &key)
{
    const auto job = jobManager_.jobs().find(key.task.job);
    const auto *run = fleet_.run(worker, key);
    if (job == jobManager_.jobs().end() || run == nullptr) {
        return true;
    }
    const auto now = timers_.now();
    const auto &spec = job->second->spec.steps[static_cast<std::size_t>(key.task.step)];
    const auto remaining = spec.estimate * (100 - run->percent) / 100;
    // Past its objective a job still counts as late until its final deadline; after that no delay matters.
    const auto limit = now < job->second->objective ? job->second->objective : computeFinalDeadline(*job->second);
    return now > limit || limit - now - remaining > preemptionDelay;
}

bool TaskPlacer::mayPreempt(StepState &step)
{
    auto &serviceCapacity = getServiceCapacity(step);
    serviceCapacity.collectPreemptibleRuns(
        [this](const std::string &worker, const RunKey &key) { return toleratesDelay(worker, key); });
    return serviceCapacity.mayHaveFreeAfterPreemption(JobManager::makeClaim(step).need, step.job->queue.priority);
}

bool TaskPlacer::mayPreemptOn(const StepState &step, const WorkerCapacity &workerCapacity) const
{
    const auto priority = step.job->queue.priority;
    return (workerCapacity.hasStoppingRuns || workerCapacity.hasPreemptibleRuns(priority))
           && workerCapacity.waitingPriority >= priority
           && JobManager::makeClaim(step).need.fitsIn(workerCapacity.freeAfterPreemption(priority));
}

std::vector<WorkerCapacity *> TaskPlacer::findPreemptionTargets(StepState &step)
{
    std::vector<WorkerCapacity *> workerCapacities;
    auto &serviceCapacity = getServiceCapacity(step);
    const auto &label = step.spec().requiredLabel;
    const auto addIfPreemptible = [&](WorkerCapacity &workerCapacity) {
        if (mayPreemptOn(step, workerCapacity) && (label.empty() || workerCapacity.worker->entry.hasLabel(label))) {
            workerCapacities.push_back(&workerCapacity);
        }
    };
    if (!step.job->queue.advice) {
        std::for_each(serviceCapacity.workerCapacities().begin(), serviceCapacity.workerCapacities().end(), addIfPreemptible);
        return workerCapacities;
    }
    const auto now = timers_.now();
    for (const auto &[id, permit] : step.advice.allowed) {
        if (auto *workerCapacity = permit.expiresAt > now ? serviceCapacity.find(id) : nullptr) {
            addIfPreemptible(*workerCapacity);
        }
    }
    return workerCapacities;
}

WorkerCapacity *TaskPlacer::choosePreemptionTarget(const StepState &step,
                                                   const std::vector<WorkerCapacity *> &workerCapacities) const
{
    const auto need = JobManager::makeClaim(step).need;
    WorkerCapacity *best = nullptr;
    double bestMissing = std::numeric_limits<double>::max();
    for (auto *workerCapacity : workerCapacities) {
        // The share of the worker's capacity that preemption has to free for the task.
        const auto missing = dominantShare(need - workerCapacity->expectedFree, workerCapacity->worker->entry.capacity);
        if (missing < bestMissing && mayPreemptOn(step, *workerCapacity)) {
            bestMissing = missing;
            best = workerCapacity;
        }
    }
    return best;
}

int TaskPlacer::preemptForTasks(StepState &step, int taskCount, bool isAllOrNothing)
{
    if (!mayPreempt(step)) {
        return 0;
    }
    const auto workerCapacities = findPreemptionTargets(step);
    std::map<WorkerCapacity *, WorkerCapacity> savedCapacities;
    std::vector<std::pair<std::string, RunKey>> runsToStop;
    const auto need = JobManager::makeClaim(step).need;
    int plannedTasks = 0;
    for (; plannedTasks < taskCount; ++plannedTasks) {
        auto *workerCapacity = choosePreemptionTarget(step, workerCapacities);
        if (workerCapacity == nullptr) {
            if (isAllOrNothing) {
                for (const auto &[changed, before] : savedCapacities) {
                    *changed = before;
                }
                return 0;
            }
            break;
        }
        if (isAllOrNothing) {
            savedCapacities.try_emplace(workerCapacity, *workerCapacity);
        }
        for (const auto &key : workerCapacity->planTask(need, step.job->queue.priority)) {
            runsToStop.emplace_back(workerCapacity->worker->entry.id, key);
        }
    }
    preempt(step, runsToStop);
    return plannedTasks;
}

void TaskPlacer::preemptForPlannedTasks(StepState &step)
{
    std::vector<std::pair<std::string, RunKey>> runsToStop;
    const auto need = JobManager::makeClaim(step).need;
    for (const auto &[id, count] : step.advice.plannedTasks) {
        auto *workerCapacity = getServiceCapacity(step).find(id);
        for (int task = 0; workerCapacity != nullptr && task < count; ++task) {
            for (const auto &key : workerCapacity->planTask(need, step.job->queue.priority)) {
                runsToStop.emplace_back(id, key);
            }
        }
    }
    preempt(step, runsToStop);
}

void TaskPlacer::preempt(const StepState &step, const std::vector<std::pair<std::string, RunKey>> &runsToStop)
{
    for (const auto &[id, key] : runsToStop) {
        EventLog::writeRateLimited(
            "run.preempted",
            { { "job", key.task.job }, { "index", key.task.index }, { "worker", id }, { "for", step.job->spec.id } });
        fleet_.stop(id, key, "preempted");
    }
}

} // namespace auburndoor
