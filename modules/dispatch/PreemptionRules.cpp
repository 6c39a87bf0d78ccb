#include "dispatch/PreemptionRules.h"

#include "dispatch/PreemptionValue.h"
#include "dispatch/TaskPlacer.h"

#include <algorithm>

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

PreemptionCost computePreemptionCost(const Run &run, const JobState &job, const Task &task, TimePoint now)
{
    const auto &name = run.key.task;
    if (task.preemptionCount >= maxPreemptionsOfTask || endsSoon(run, now)) {
        return PreemptionCost::Excessive;
    }
    const auto remaining = job.spec.steps[static_cast<std::size_t>(name.step)].estimate * (100 - run.percent) / 100;
    // Past its objective a job still counts as late until its final deadline; after that no delay matters.
    const auto objective = job.objectiveOf(name.occurrence);
    const auto limit = now < objective ? objective : job.finalDeadlineOf(name.occurrence);
    if (now > limit) {
        return PreemptionCost::Nothing;
    }
    return limit - now - remaining > preemptionDelay ? PreemptionCost::Tolerable : PreemptionCost::MakesLate;
}

} // namespace

StopCost stopCostOf(const Run &run, const JobState &job, const Task &task, TimePoint now, bool isProtected)
{
    const auto cost = computePreemptionCost(run, job, task, now);
    const auto savedAt = std::max({ run.startedAt, run.confirmedAt, run.checkpointedAt });
    const auto sinceSaved = std::chrono::duration_cast<Milliseconds>(now - savedAt);
    const auto estimate = job.spec.steps[static_cast<std::size_t>(run.key.task.step)].estimate;
    const bool isValuable = cost == PreemptionCost::Tolerable || cost == PreemptionCost::MakesLate;
    return { isProtected && isValuable ? PreemptionCost::Protected : cost,
             PreemptionValue::lossOf({ run.claim.need, estimate, std::max(sinceSaved, Milliseconds(0)), cost }) };
}

std::optional<PreemptionRight> preemptionRightOf(const StepState &step, TimePoint now)
{
    const auto priority = step.job->queue.priority;
    if (isPastFinalDeadline(step, now)) {
        return std::nullopt;
    }
    if (step.isRepair()) {
        return PreemptionRight { priority, PreemptionCost::Protected };
    }
    if (!canBeInTime(step, now + PreemptionValue::stopTime)) {
        return PreemptionRight { priority, PreemptionCost::Nothing };
    }
    return PreemptionRight { priority, priority == mostUrgentPriority ? PreemptionCost::MakesLate : PreemptionCost::Tolerable };
}

WorkAmount startGainOf(const StepState &step)
{
    if (step.isRepair() || step.spec().isService) {
        return PreemptionValue::unlimited;
    }
    auto need = step.spec().need;
    need.milliCores = step.spec().fillsIdleCapacity ? 0 : need.milliCores;
    return PreemptionValue::gainOf(need, step.spec().estimate);
}

} // namespace auburndoor
