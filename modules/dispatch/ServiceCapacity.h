#pragma once

#include "dispatch/WorkerCapacity.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace auburndoor {

/**
    The rooms of the usable workers of one service in a round of placement.

    Bounds over all workers let a step that fits nowhere be passed over without a look at each of them, so that a long queue costs
    little. Valid for the round only: the workers belong to the fleet.
*/
class ServiceRooms
{
public:
    /** Workers are added in the order of their ids. */
    void add(WorkerState &worker);

    std::vector<WorkerRoom> &rooms()
    {
        return rooms_;
    }

    /** The room of a worker; null if it isn't usable. */
    WorkerRoom *find(const std::string &worker);

    /** False if no worker has this much free. True does not mean that one has: each resource is bounded by itself. */
    bool mayHaveFree(const Resources &need) const
    {
        return need.fitsIn(largestFree_);
    }

    /** Decides for a run whether its job would still be in time if it were stopped now. */
    using CanWait = std::function<bool(const std::string &worker, const RunKey &run)>;

    /** Collects the runs that may be stopped, once in a round; before it nothing is reclaimable. */
    void collectReclaimable(const CanWait &canWait);

    /** False if no worker would have this much free after all its less urgent runs were stopped. */
    bool mayHaveReclaimable(const Resources &need, int priority);

private:
    std::vector<WorkerRoom> rooms_;
    Resources largestFree_;
    bool isCollected_ = false;
    /** The most that could be free on any worker, by the priority that asks. */
    std::map<int, Resources> largestReclaimable_;
};

} // namespace auburndoor
