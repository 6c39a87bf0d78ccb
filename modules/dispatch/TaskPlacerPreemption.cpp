#include "dispatch/TaskPlacer.h"
#include "observability/EventLog.h"

#include <algorithm>
#include <limits>

namespace auburndoor {

namespace {

// The expected time until a preempted run is running again: its stop, a new advice request and the wait for capacity.
constexpr Milliseconds preemptionDelay { 2500 };
// Each stop costs the run a restart from its checkpoint and another wait for capacity.
constexpr int maxPreemptionsOfTask = 2;
// Work of this priority may make the jobs of others late.
constexpr int mostUrgentPriority = 0;
// A stop takes up to half a second to free the capacity: a run that ends within about that time is left to end.
constexpr Milliseconds minRemainingTime { 500 };

/** True if the run's reported progress shows that it ends about as soon as a stop would free its capacity. */
bool endsSoon(const Run &run, TimePoint now)
{
    if (run.percent <= 0 || run.confirmedAt == TimePoint() || run.percentChangedAt <= run.confirmedAt) {
        return false;
    }
    const auto elapsedAtReport = run.percentChangedAt - run.confirmedAt;
    const auto remainingAtReport = elapsedAtReport * (100 - run.percent) / run.percent;
    return remainingAtReport - (now - run.percentChangedAt) < minRemainingTime;
}

} // namespace

PreemptionCost TaskPlacer::computePreemptionCost(const Run &run)
{
    const auto &name = run.key.task;
    const auto job = jobManager_.jobs().find(name.job);
    const auto *task = job == jobManager_.jobs().end() ? nullptr : job->second->task(name);
    if (task == nullptr) {
        return PreemptionCost::Nothing;
    }
    const auto &spec = job->second->spec.steps[static_cast<std::size_t>(name.step)];
    if (task->preemptionCount >= maxPreemptionsOfTask || endsSoon(run, now_)) {
        return PreemptionCost::Excessive;
    }
    const auto remaining = spec.estimate * (100 - run.percent) / 100;
    // Past its objective a job still counts as late until its final deadline; after that no delay matters.
    const auto objective = job->second->objectiveOf(name.occurrence);
    const auto limit = now_ < objective ? objective : job->second->finalDeadlineOf(name.occurrence);
    if (now_ > limit) {
        return PreemptionCost::Nothing;
    }
    return limit - now_ - remaining > preemptionDelay ? PreemptionCost::Tolerable : PreemptionCost::MakesLate;
}

std::optional<PreemptionRight> TaskPlacer::preemptionRight(const StepState &step) const
{
    const auto priority = step.job->queue.priority;
    if (isPastFinalDeadline(step, now_)) {
        return std::nullopt;
    }
    if (step.isRepair()) {
        return PreemptionRight { priority, PreemptionCost::MakesLate };
    }
    if (!canBeInTime(step, now_)) {
        return PreemptionRight { priority, PreemptionCost::Nothing };
    }
    return PreemptionRight { priority, priority == mostUrgentPriority ? PreemptionCost::MakesLate : PreemptionCost::Tolerable };
}

std::optional<PreemptionRight> TaskPlacer::findPreemptionRight(StepState &step)
{
    const auto right = preemptionRightWithinShare(step);
    if (!right) {
        return std::nullopt;
    }
    auto &serviceCapacity = getServiceCapacity(step);
    serviceCapacity.collectPreemptibleRuns();
    const bool mayHelp = serviceCapacity.mayHaveFreeAfterPreemption(JobManager::makeClaim(step).need, *right);
    return mayHelp ? right : std::nullopt;
}

bool TaskPlacer::fitsWithoutPreemption(const StepState &step, const WorkerCapacity &workerCapacity)
{
    const auto claim = JobManager::makeClaim(step);
    return workerCapacity.waitingPriority >= claim.priority && claim.need.fitsIn(workerCapacity.expectedFree)
           && claim.need.fitsIn(workerCapacity.freeFor(&step, claim.priority));
}

std::vector<WorkerCapacity *> TaskPlacer::findPreemptionTargets(StepState &step, const PreemptionRight &right, bool includeFree)
{
    std::vector<WorkerCapacity *> workerCapacities;
    auto &serviceCapacity = getServiceCapacity(step);
    const auto &label = step.spec().requiredLabel;
    const auto need = JobManager::makeClaim(step).need;
    const auto addIfPreemptible = [&](WorkerCapacity &workerCapacity) {
        const bool fits = workerCapacity.isUsable
                          && (workerCapacity.fitsAfterPreemption(need, right)
                              || (includeFree && fitsWithoutPreemption(step, workerCapacity)));
        if (fits && (label.empty() || workerCapacity.worker->entry.hasLabel(label))) {
            workerCapacities.push_back(&workerCapacity);
        }
    };
    if (!step.job->queue.advice) {
        std::for_each(serviceCapacity.workerCapacities().begin(), serviceCapacity.workerCapacities().end(), addIfPreemptible);
        return workerCapacities;
    }
    for (const auto &[id, permit] : step.advice.allowed) {
        if (auto *workerCapacity = permit.expiresAt > now_ ? serviceCapacity.find(id) : nullptr) {
            addIfPreemptible(*workerCapacity);
        }
    }
    return workerCapacities;
}

WorkerCapacity *TaskPlacer::choosePreemptionTarget(const StepState &step,
                                                   const PreemptionRight &right,
                                                   const std::vector<WorkerCapacity *> &workerCapacities)
{
    const auto need = JobManager::makeClaim(step).need;
    WorkerCapacity *best = nullptr;
    double bestMissing = std::numeric_limits<double>::max();
    for (auto *workerCapacity : workerCapacities) {
        // The share of the worker's capacity that preemption has to free for the task.
        const auto missing = dominantShare(need - workerCapacity->expectedFree, workerCapacity->worker->entry.capacity);
        if (missing < bestMissing
            && (fitsWithoutPreemption(step, *workerCapacity) || workerCapacity->fitsAfterPreemption(need, right))) {
            bestMissing = missing;
            best = workerCapacity;
        }
    }
    return best;
}

int TaskPlacer::preemptForTasks(StepState &step, int taskCount, bool isAllOrNothing)
{
    const auto right = findPreemptionRight(step);
    if (!right) {
        return 0;
    }
    // The members of a gang that fit without preemption count as well, since none of them has a worker yet.
    const auto workerCapacities = findPreemptionTargets(step, *right, isAllOrNothing);
    std::map<WorkerCapacity *, WorkerCapacity> savedCapacities;
    std::vector<std::pair<std::string, RunKey>> runsToStop;
    const auto need = JobManager::makeClaim(step).need;
    int plannedTasks = 0;
    for (; plannedTasks < taskCount; ++plannedTasks) {
        auto *workerCapacity = choosePreemptionTarget(step, *right, workerCapacities);
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
        for (const auto &key : workerCapacity->planTask(need, *right)) {
            runsToStop.emplace_back(workerCapacity->worker->entry.id, key);
        }
    }
    preempt(step, runsToStop);
    return plannedTasks;
}

void TaskPlacer::preemptForPlannedTasks(StepState &step)
{
    const auto right = preemptionRightWithinShare(step);
    if (!right) {
        return;
    }
    getServiceCapacity(step).collectPreemptibleRuns();
    std::vector<std::pair<std::string, RunKey>> runsToStop;
    const auto need = JobManager::makeClaim(step).need;
    for (const auto &[id, count] : step.advice.plannedTasks) {
        auto *workerCapacity = getServiceCapacity(step).find(id);
        for (int task = 0; workerCapacity != nullptr && task < count; ++task) {
            for (const auto &key : workerCapacity->planTask(need, *right)) {
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
            { { "task", key.task.text() }, { "attempt", key.attempt }, { "worker", id }, { "for", step.job->spec.id } });
        const auto job = jobManager_.jobs().find(key.task.job);
        if (auto *task = job == jobManager_.jobs().end() ? nullptr : job->second->task(key.task)) {
            ++task->preemptionCount;
        }
        fleet_.stop(id, key, "preempted");
    }
}

} // namespace auburndoor
