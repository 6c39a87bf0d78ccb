#include "dispatch/PreemptionPlan.h"
#include "dispatch/PreemptionRules.h"
#include "dispatch/TaskPlacer.h"
#include "observability/EventLog.h"

#include <algorithm>

namespace auburndoor {

namespace {

constexpr WorkAmount milliCoresOfCore = 1000;

} // namespace

StopCost TaskPlacer::computeStopCost(const Run &run)
{
    const auto job = jobManager_.jobs().find(run.key.task.job);
    const auto *task = job == jobManager_.jobs().end() ? nullptr : job->second->task(run.key.task);
    if (task == nullptr) {
        return { PreemptionCost::Nothing, 0 };
    }
    const auto &step = *job->second->step(run.key.task.occurrence, run.key.task.step);
    return stopCostOf(run, *job->second, *task, now_, scarcityOf(step).isProtected(run.claim.priority));
}

std::optional<PreemptionRight> TaskPlacer::findPreemptionRight(StepState &step)
{
    const auto right = preemptionRightWithinShare(step);
    if (!right || willHaveRoom(step)) {
        return std::nullopt;
    }
    auto &serviceCapacity = getServiceCapacity(step);
    serviceCapacity.collectPreemptibleRuns();
    const bool mayHelp = serviceCapacity.mayHaveFreeAfterPreemption(JobManager::makeClaim(step).need, *right);
    return mayHelp ? right : std::nullopt;
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
                              || (includeFree && workerCapacity.fitsWithoutPreemption(&step, need, right.priority)));
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

int TaskPlacer::preemptForTasks(StepState &step, int taskCount, bool isAllOrNothing)
{
    const auto right = taskCount > 0 ? findPreemptionRight(step) : std::nullopt;
    if (!right) {
        return 0;
    }
    // The members of a gang that fit without preemption count as well, since none of them has a worker yet.
    const auto workerCapacities = findPreemptionTargets(step, *right, isAllOrNothing);
    PreemptionPlan plan(JobManager::makeClaim(step).need, *right, startGainOf(step), isAllOrNothing);
    plan.setTargets(workerCapacities, &step);
    while (plan.taskCount() < taskCount) {
        bool isRefused = false;
        auto *workerCapacity = plan.chooseTarget(isRefused);
        if (isRefused) {
            notePreemptionRefused(step);
        }
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
    const auto right = preemptionRightWithinShare(step);
    if (!right || willHaveRoom(step)) {
        return;
    }
    getServiceCapacity(step).collectPreemptibleRuns();
    const auto need = JobManager::makeClaim(step).need;
    const bool isGang = step.spec().isGang;
    PreemptionPlan plan(need, *right, startGainOf(step), isGang);
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
        { { "job", step.job->spec.id }, { "step", step.index }, { "gain_core_ms", startGainOf(step) / milliCoresOfCore } });
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
            noteWork(*job->second->step(key.task.occurrence, key.task.step), false);
        }
        ++statistics_.preemptions;
        fleet_.stop(id, key, "preempted");
    }
}

} // namespace auburndoor
