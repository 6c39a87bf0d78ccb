#include "dispatch/ServiceCapacity.h"

#include <algorithm>
#include <utility>

namespace auburndoor {

namespace {

void raiseTo(Resources &bound, const Resources &amount)
{
    bound.milliCores = std::max(bound.milliCores, amount.milliCores);
    bound.memoryMiB = std::max(bound.memoryMiB, amount.memoryMiB);
    bound.accelerators = std::max(bound.accelerators, amount.accelerators);
}

} // namespace

void ServiceCapacity::add(WorkerState &worker)
{
    auto &workerCapacity = workerCapacities_.emplace_back();
    workerCapacity.worker = &worker;
    raiseTo(largestFree_, worker.free());
}

WorkerCapacity *ServiceCapacity::find(const std::string &worker)
{
    const auto found = std::lower_bound(
        workerCapacities_.begin(),
        workerCapacities_.end(),
        worker,
        [](const WorkerCapacity &workerCapacity, const std::string &id) { return workerCapacity.worker->entry.id < id; });
    return found == workerCapacities_.end() || found->worker->entry.id != worker ? nullptr : &*found;
}

void ServiceCapacity::collectPreemptibleRuns(const CostOfPreemption &costOfPreemption)
{
    if (std::exchange(isCollected_, true)) {
        return;
    }
    for (auto &workerCapacity : workerCapacities_) {
        workerCapacity.collectRuns();
        for (auto &run : workerCapacity.preemptibleRuns) {
            run.cost = costOfPreemption(workerCapacity.worker->entry.id, run.key);
        }
    }
}

bool ServiceCapacity::mayHaveFreeAfterPreemption(const Resources &need, const PreemptionRight &right)
{
    const auto [found, isNew] = largestFreeAfterPreemption_.try_emplace(right);
    if (isNew) {
        for (const auto &workerCapacity : workerCapacities_) {
            if (workerCapacity.hasStoppingRuns || workerCapacity.hasPreemptibleRuns(right)) {
                raiseTo(found->second, workerCapacity.freeAfterPreemption(right));
            }
        }
    }
    return need.fitsIn(found->second);
}

} // namespace auburndoor
