#include "dispatch/InheritedUse.h"
#include "dispatch/TaskPlacer.h"

#include <algorithm>

namespace auburndoor {

namespace {

// What is read of a worker counts twice until then, which only delays starts.
constexpr Milliseconds inheritedUseInterval { 30 };
// The jobs are passed over for a twentieth of the time at most.
constexpr int inheritedUsePauseFactor = 20;

} // namespace

void TaskPlacer::setDesiredState(const DesiredState &desiredState)
{
    quotas_.setDesiredState(desiredState);
    shares_.setDesiredState(desiredState);
    inheritedUseAt_ = TimePoint();
}

int TaskPlacer::countStartable(const StepState &step, int most) const
{
    return quotas_.countStartable(step, most, now_);
}

void TaskPlacer::updateInheritedUse()
{
    const bool isNeeded = quotas_.hasLimits() || !jobManager_.endedInheritedTasks().empty();
    if (!isNeeded || now_ < inheritedUseAt_) {
        return;
    }
    const auto startedAt = timers_.now();
    const auto capacity = fleet_.unreadCapacity();
    InheritedUse use;
    if (capacity.hasWorkers) {
        for (const auto &[id, job] : jobManager_.jobs()) {
            if (job->isInherited && !job->spec.account.empty() && mayHaveUnknownRuns(*job)) {
                use.add(*job);
            }
        }
        for (const auto &[id, tasks] : jobManager_.endedInheritedTasks()) {
            if (std::any_of(tasks.services.begin(), tasks.services.end(), [this](const std::string &service) {
                    return hasUnreadWorkers(service);
                })) {
                use.add(tasks);
            }
        }
    } else {
        jobManager_.forgetEndedInheritedTasks();
    }
    quotas_.setInheritedUse(use.compute(capacity));
    const auto duration = std::chrono::duration_cast<Milliseconds>(timers_.now() - startedAt);
    inheritedUseAt_ = now_ + std::max(inheritedUseInterval, duration * inheritedUsePauseFactor);
}

bool TaskPlacer::isHeldByLimit(StepState &step)
{
    if (!quotas_.isAtLimit(step, now_)) {
        return false;
    }
    // Others may use the room meanwhile. The results of its searches stay: they tell of room only, which the limit does not change.
    if (!step.hold.members.empty() || !step.advice.plannedTasks.empty()) {
        step.hold.members.clear();
        step.advice.plannedTasks.clear();
        reserveCapacity(step);
    }
    return true;
}

const AccountQuotas &TaskPlacer::accountQuotas() const
{
    return quotas_;
}

const AccountLimitReport &TaskPlacer::accountLimitReport() const
{
    return limitReport_;
}

bool TaskPlacer::waitsForLimit(const JobState &job) const
{
    if (job.hasBegun || job.spec.account.empty() || !quotas_.hasLimits()) {
        return false;
    }
    const auto isHeld = [this](const StepState &step) {
        return step.hasTasksToPlace() && step.spec().dependsOn.empty() && quotas_.isAtLimit(step, now_);
    };
    return std::any_of(job.occurrences.begin(), job.occurrences.end(), [&isHeld](const auto &occurrence) {
        return std::any_of(occurrence.second.steps.begin(), occurrence.second.steps.end(), isHeld);
    });
}

void TaskPlacer::updateLimitReport()
{
    std::map<std::string, int> waitingTasks;
    if (quotas_.hasLimits()) {
        for (const auto &[rank, step] : readySteps_.entries()) {
            if (quotas_.isAtLimit(*step, now_)) {
                waitingTasks[step->job->spec.account] += countIdleTasks(*step);
            }
        }
    }
    limitReport_.update(now_, waitingTasks, quotas_);
}

} // namespace auburndoor
