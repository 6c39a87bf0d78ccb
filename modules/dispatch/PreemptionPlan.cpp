#include "dispatch/PreemptionPlan.h"

#include "dispatch/PreemptionValue.h"

namespace auburndoor {

PreemptionPlan::PreemptionPlan(const Resources &need, const PreemptionRight &right, WorkAmount gain, bool isTogether)
    : need_(need), right_(right), gain_(gain), isTogether_(isTogether)
{
}

bool PreemptionPlan::mayLose(WorkAmount loss) const
{
    return isTogether_ || loss <= gain_;
}

void PreemptionPlan::addTask(WorkerCapacity &workerCapacity)
{
    if (isTogether_) {
        savedCapacities_.try_emplace(&workerCapacity, workerCapacity);
    }
    loss_ += workerCapacity.lossFor(need_, right_);
    for (const auto &key : workerCapacity.planTask(need_, right_)) {
        stops_.emplace_back(workerCapacity.id, key);
    }
    ++taskCount_;
}

bool PreemptionPlan::isWorthwhile() const
{
    return gain_ == PreemptionValue::unlimited || loss_ <= gain_ * taskCount_;
}

void PreemptionPlan::rollBack()
{
    for (const auto &[changed, before] : savedCapacities_) {
        *changed = before;
    }
    savedCapacities_.clear();
    stops_.clear();
    taskCount_ = 0;
    loss_ = 0;
}

} // namespace auburndoor
