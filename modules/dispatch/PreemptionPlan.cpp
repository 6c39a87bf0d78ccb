#include "dispatch/PreemptionPlan.h"

#include "dispatch/PreemptionValue.h"

#include <algorithm>
#include <tuple>

namespace auburndoor {

PreemptionPlan::PreemptionPlan(const Resources &need, const PreemptionRight &right, WorkAmount gain, bool isTogether)
    : need_(need), right_(right), gain_(gain), isTogether_(isTogether)
{
}

bool PreemptionPlan::mayLose(WorkAmount loss) const
{
    return isTogether_ || loss <= gain_;
}

void PreemptionPlan::setTargets(const std::vector<WorkerCapacity *> &workerCapacities, const void *step)
{
    step_ = step;
    targets_.clear();
    for (auto *workerCapacity : workerCapacities) {
        targets_.push_back({ workerCapacity });
        updateTarget(targets_.back());
    }
}

void PreemptionPlan::updateTarget(Target &target) const
{
    const auto &workerCapacity = *target.workerCapacity;
    target.hasRoom = workerCapacity.fitsWithoutPreemption(step_, need_, right_.priority)
                     || workerCapacity.fitsAfterPreemption(need_, right_);
    if (target.hasRoom) {
        target.loss = workerCapacity.lossFor(need_, right_);
        target.missing = dominantShare(need_ - workerCapacity.expectedFree, workerCapacity.worker->entry.capacity);
    }
}

WorkerCapacity *PreemptionPlan::chooseTarget(bool &isRefused) const
{
    const Target *best = nullptr;
    bool hasRoom = false;
    for (const auto &target : targets_) {
        hasRoom = hasRoom || target.hasRoom;
        // Of stops that lose alike, those on the worker with the smallest share of its capacity to free.
        if (target.hasRoom && mayLose(target.loss)
            && (best == nullptr || std::tie(target.loss, target.missing) < std::tie(best->loss, best->missing))) {
            best = &target;
        }
    }
    isRefused = best == nullptr && hasRoom;
    return best == nullptr ? nullptr : best->workerCapacity;
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
    const auto target = std::find_if(
        targets_.begin(), targets_.end(), [&](const Target &other) { return other.workerCapacity == &workerCapacity; });
    if (target != targets_.end()) {
        updateTarget(*target);
    }
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
