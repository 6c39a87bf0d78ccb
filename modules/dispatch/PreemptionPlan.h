#pragma once

#include "dispatch/WorkerCapacity.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace auburndoor {

/**
    The stops that make room for tasks of one step, which are sent only if they gain more than they lose.

    Tasks of a gang count together, since none of them gains anything without the others. A plan that is not kept leaves the
    capacities as they were.
*/
class PreemptionPlan
{
public:
    /**
        @param gain       what the start of one task gains
        @param isTogether count all tasks together, in isWorthwhile()
    */
    PreemptionPlan(const Resources &need, const PreemptionRight &right, WorkAmount gain, bool isTogether);

    /** True if the stops for one more task on the worker lose this little, or if the tasks count together. */
    bool mayLose(WorkAmount loss) const;
    /** Sets the workers among which chooseTarget() chooses. @param step identifies the step; compared only */
    void setTargets(const std::vector<WorkerCapacity *> &workerCapacities, const void *step);
    /**
        The worker on which stops that fit a task lose least, and no more than they may; null if there is none.

        @param isRefused set if only stops on workers on which the task would fit lose too much
    */
    WorkerCapacity *chooseTarget(bool &isRefused) const;
    /** Plans room for one task on the worker, on which it fits after stops. */
    void addTask(WorkerCapacity &workerCapacity);
    /** True if all stops together lose less than all tasks gain. */
    bool isWorthwhile() const;
    /** Restores the capacities. */
    void rollBack();

    /** The runs to stop, with the ids of their workers. */
    const std::vector<std::pair<std::string, RunKey>> &stops() const
    {
        return stops_;
    }
    int taskCount() const
    {
        return taskCount_;
    }

private:
    /** A worker with what stops for one more task there would lose. */
    struct Target
    {
        WorkerCapacity *workerCapacity = nullptr;
        bool hasRoom = false;
        WorkAmount loss = 0;
        /** The share of its capacity to free. */
        double missing = 0;
    };

    void updateTarget(Target &target) const;

    Resources need_;
    PreemptionRight right_;
    WorkAmount gain_;
    bool isTogether_;
    const void *step_ = nullptr;
    std::vector<Target> targets_;
    int taskCount_ = 0;
    WorkAmount loss_ = 0;
    std::vector<std::pair<std::string, RunKey>> stops_;
    /** The capacities before the plan; only if the tasks count together. */
    std::map<WorkerCapacity *, WorkerCapacity> savedCapacities_;
};

} // namespace auburndoor
