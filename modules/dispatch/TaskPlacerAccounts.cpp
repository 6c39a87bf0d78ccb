#include "dispatch/TaskPlacer.h"

#include <algorithm>

namespace auburndoor {

void TaskPlacer::setDesiredState(const DesiredState &desiredState)
{
    quotas_.setDesiredState(desiredState);
}

int TaskPlacer::countStartable(const StepState &step, int most) const
{
    return quotas_.countStartable(step, most, now_);
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

} // namespace auburndoor
