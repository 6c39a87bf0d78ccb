#pragma once

#include "dispatch/WorkerCapacity.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace auburndoor {

/**
    The capacity of the usable workers of one service in a round of placement.

    Upper bounds over all workers let the placer skip a step that fits on none without checking each worker, so that a long queue
    costs little. Valid for one round only: the workers belong to the fleet.
*/
class ServiceCapacity
{
public:
    /** Adds a worker; workers must be added in the order of their ids. */
    void add(WorkerState &worker);

    std::vector<WorkerCapacity> &workerCapacities()
    {
        return workerCapacities_;
    }

    /** The capacity of a worker; null if the worker is not usable. */
    WorkerCapacity *find(const std::string &worker);

    /** False if no worker has this much free. True does not mean that one has, as the bound of each resource is separate. */
    bool mayHaveFree(const Resources &need) const
    {
        return need.fitsIn(largestFree_);
    }

    /** Returns what a stop of the run now would cost. */
    using CostOfPreemption = std::function<PreemptionCost(const std::string &worker, const RunKey &run)>;

    /** Collects the preemptible runs of all workers. Repeated calls do nothing; before the first one no run is preemptible. */
    void collectPreemptibleRuns(const CostOfPreemption &costOfPreemption);

    /** False if no worker would have this much free after the runs that may be preempted were stopped. */
    bool mayHaveFreeAfterPreemption(const Resources &need, const PreemptionRight &right);

private:
    std::vector<WorkerCapacity> workerCapacities_;
    Resources largestFree_;
    bool isCollected_ = false;
    /** The bound of what preemption could free on any worker, by the right of the work that needs it. */
    std::map<PreemptionRight, Resources> largestFreeAfterPreemption_;
};

} // namespace auburndoor
