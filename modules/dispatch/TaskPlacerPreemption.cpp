#include "dispatch/PreemptionPlan.h"
#include "dispatch/PreemptionValue.h"
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
constexpr WorkAmount milliCoresOfCore = 1000;

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

PreemptionCost TaskPlacer::computePreemptionCost(const Run &run, const JobState &job, const Task &task) const
{
    const auto &name = run.key.task;
    if (task.preemptionCount >= maxPreemptionsOfTask || endsSoon(run, now_)) {
        return PreemptionCost::Excessive;
    }
    const auto remaining = job.spec.steps[static_cast<std::size_t>(name.step)].estimate * (100 - run.percent) / 100;
    // Past its objective a job still counts as late until its final deadline; after that no delay matters.
    const auto objective = job.objectiveOf(name.occurrence);
    const auto limit = now_ < objective ? objective : job.finalDeadlineOf(name.occurrence);
    if (now_ > limit) {
        return PreemptionCost::Nothing;
    }
    return limit - now_ - remaining > preemptionDelay ? PreemptionCost::Tolerable : PreemptionCost::MakesLate;
}

StopCost TaskPlacer::computeStopCost(const Run &run) const
{
    const auto &name = run.key.task;
    const auto job = jobManager_.jobs().find(name.job);
    const auto *task = job == jobManager_.jobs().end() ? nullptr : job->second->task(name);
    if (task == nullptr) {
        return { PreemptionCost::Nothing, 0 };
    }
    const auto cost = computePreemptionCost(run, *job->second, *task);
    const auto savedAt = std::max({ run.startedAt, run.confirmedAt, run.checkpointedAt });
    const auto sinceSaved = std::chrono::duration_cast<Milliseconds>(now_ - savedAt);
    const auto estimate = job->second->spec.steps[static_cast<std::size_t>(name.step)].estimate;
    return { cost, PreemptionValue::lossOf({ run.claim.need, estimate, std::max(sinceSaved, Milliseconds(0)), cost }) };
}

WorkAmount TaskPlacer::computeGain(const StepState &step)
{
    const bool isUnlimited = step.isRepair() || step.spec().isService;
    return isUnlimited ? PreemptionValue::unlimited
                       : PreemptionValue::gainOf(JobManager::makeClaim(step).need, step.spec().estimate);
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
    if (!canBeInTime(step, now_ + PreemptionValue::stopTime)) {
        return PreemptionRight { priority, PreemptionCost::Nothing };
    }
    return PreemptionRight { priority, priority == mostUrgentPriority ? PreemptionCost::MakesLate : PreemptionCost::Tolerable };
}

std::optional<PreemptionRight> TaskPlacer::findPreemptionRight(StepState &step)
{
    const auto right = preemptionRight(step);
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
                                                   const PreemptionPlan &plan,
                                                   const std::vector<WorkerCapacity *> &workerCapacities)
{
    const auto need = JobManager::makeClaim(step).need;
    WorkerCapacity *best = nullptr;
    auto lowest = std::pair(PreemptionValue::unlimited, std::numeric_limits<double>::max());
    bool hasTarget = false;
    for (auto *workerCapacity : workerCapacities) {
        if (!fitsWithoutPreemption(step, *workerCapacity) && !workerCapacity->fitsAfterPreemption(need, right)) {
            continue;
        }
        hasTarget = true;
        const auto loss = workerCapacity->lossFor(need, right);
        // Of stops that lose alike, those on the worker with the smallest share of its capacity to free.
        const auto missing = dominantShare(need - workerCapacity->expectedFree, workerCapacity->worker->entry.capacity);
        if (plan.mayLose(loss) && std::pair(loss, missing) < lowest) {
            lowest = { loss, missing };
            best = workerCapacity;
        }
    }
    if (best == nullptr && hasTarget) {
        notePreemptionRefused(step);
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
    PreemptionPlan plan(JobManager::makeClaim(step).need, *right, computeGain(step), isAllOrNothing);
    while (plan.taskCount() < taskCount) {
        auto *workerCapacity = choosePreemptionTarget(step, *right, plan, workerCapacities);
        if (workerCapacity == nullptr) {
            break;
        }
        plan.addTask(*workerCapacity);
    }
    if (isAllOrNothing && (plan.taskCount() < taskCount || !plan.isWorthwhile())) {
        if (plan.taskCount() == taskCount) {
            notePreemptionRefused(step);
        }
        plan.rollBack();
    }
    preempt(step, plan.stops());
    return plan.taskCount();
}

void TaskPlacer::preemptForPlannedTasks(StepState &step)
{
    const auto right = preemptionRight(step);
    if (!right) {
        return;
    }
    getServiceCapacity(step).collectPreemptibleRuns();
    const auto need = JobManager::makeClaim(step).need;
    const bool isGang = step.spec().isGang;
    PreemptionPlan plan(need, *right, computeGain(step), isGang);
    bool isRefused = false;
    for (const auto &[id, count] : step.advice.plannedTasks) {
        auto *workerCapacity = getServiceCapacity(step).find(id);
        for (int task = 0; workerCapacity != nullptr && task < count; ++task) {
            const bool mayLose = plan.mayLose(workerCapacity->lossFor(need, *right));
            isRefused = isRefused || !mayLose;
            if (mayLose) {
                plan.addTask(*workerCapacity);
            }
        }
    }
    if (isGang && !plan.isWorthwhile()) {
        isRefused = true;
        plan.rollBack();
    }
    if (isRefused) {
        notePreemptionRefused(step);
    }
    preempt(step, plan.stops());
}

void TaskPlacer::notePreemptionRefused(const StepState &step)
{
    ++statistics_.refusedPreemptions;
    EventLog::writeRateLimited(
        "preemption.refused",
        { { "job", step.job->spec.id }, { "step", step.index }, { "gain_core_ms", computeGain(step) / milliCoresOfCore } });
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
        ++statistics_.preemptions;
        fleet_.stop(id, key, "preempted");
    }
}

} // namespace auburndoor
