#pragma once

#include "dispatch/SpeedPreference.h"
#include "dispatch/WorkerCapacity.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburndoor {

/**
    The capacity of the workers of one service, kept across rounds of placement.

    Upper bounds over all workers let the placer skip a step that fits on none without checking each worker. They are raised by each
    update, and lowered only by tightenBounds(). The list of grown workers lets the placer offer room that has become free to the
   steps for which all workers were searched before. The workers belong to the fleet. All members are called from the loop's thread.
*/
class ServiceCapacity
{
public:
    /** Returns what a stop of the run now would cost. */
    using CostOfPreemption = std::function<StopCost(const Run &run)>;

    /** Returns true if the run's account has less than its share of the scarce service. */
    using IsBelowShare = std::function<bool(const Run &run)>;

    explicit ServiceCapacity(CostOfPreemption costOfPreemption, IsBelowShare isBelowShare = {});

    /** Adds a worker, or follows a change of it. */
    void update(WorkerState &worker, bool isUsable);
    /** Removes a worker; does not read its state. */
    void remove(const std::string &worker);
    /** Follows the start of a task on a worker, which may be one that room was planned for. */
    void recordStart(WorkerCapacity &workerCapacity, const Resources &need, int priority);
    /** Computes the bounds again from all workers, and drops all reservations and plans. */
    void tightenBounds();

    /** All workers, in the order of their ids; also those that are not usable. */
    std::vector<WorkerCapacity> &workerCapacities()
    {
        return workerCapacities_;
    }

    /** The capacity of a worker; null if the service has no such worker or it is not usable. */
    WorkerCapacity *find(const std::string &worker);

    /**
        The usable workers that have this much free, the least utilized ones first.

        @param limit      the most workers to return
        @param isWanted   called for workers in this order; false passes over the worker
        @param preference of the step; its cost of a worker's speed adds to the utilization
    */
    std::vector<WorkerCapacity *> findLeastUtilized(const Resources &need,
                                                    std::size_t limit,
                                                    const std::function<bool(const WorkerCapacity &)> &isWanted,
                                                    const SpeedPreference &preference = {});

    /** Notes that more of a worker may be used than before, as a reservation or plan has ended. */
    void noteGrowth(const std::string &worker);
    /** The number of times that a worker has got more free; rises for good. */
    std::uint64_t growth() const
    {
        return growth_;
    }
    /** False if some of the workers that have got more free since then are not known any more. */
    bool isGrowthKnownSince(std::uint64_t since) const
    {
        return growth_ - since <= grown_.size();
    }
    /** The usable workers that have got more free since growth() had this value. */
    std::vector<WorkerCapacity *> findGrownSince(std::uint64_t since);
    /** True if one of the workers of findGrownSince() has this much free and the step may use it, as isWanted tells. */
    bool hasGrownRoom(std::uint64_t since, const Resources &need, const std::function<bool(const WorkerCapacity &)> &isWanted);

    /** What is free on usable workers and the capacity of these, at the last call of tightenBounds(). */
    const Resources &totalFree() const
    {
        return totalFree_;
    }
    const Resources &totalCapacity() const
    {
        return totalCapacity_;
    }

    /** False if no worker has this much free. True does not mean that one has, as the bound of each resource is separate. */
    bool mayHaveFree(const Resources &need) const
    {
        return need.fitsIn(largestFree_);
    }

    /** Has the runs of all workers collected again, as other accounts are below their shares now. */
    void forgetCollectedRuns();

    /** False if the need is larger than any usable worker, as of the last call of tightenBounds(). */
    bool mayHold(const Resources &need) const
    {
        return need.fitsIn(largestCapacity_);
    }

    /** Collects the preemptible runs of all workers that have changed since the last call. */
    void collectPreemptibleRuns();

    /** False if no worker would have this much free after the runs that may be preempted were stopped. */
    bool mayHaveFreeAfterPreemption(const Resources &need, const PreemptionRight &right);

private:
    /** What a search over all workers reads of each. */
    struct Room
    {
        Resources free;
        /** The dominant share in use. */
        double utilization = 0;
        /** As in WorkerState. */
        double speed = 1;
        bool isUsable = false;
    };

    /** Calls the function for each worker of findGrownSince() until it returns true. @return true if it has */
    bool visitGrown(std::uint64_t since, const std::function<bool(WorkerCapacity &)> &function);
    std::vector<WorkerCapacity>::iterator lowerBound(const std::string &worker);
    Room &roomOf(const WorkerCapacity &workerCapacity);
    void collect(WorkerCapacity &workerCapacity) const;

    CostOfPreemption costOfPreemption_;
    IsBelowShare isBelowShare_;
    std::vector<WorkerCapacity> workerCapacities_;
    /** The room of each worker at the last update, in the order of workerCapacities_. */
    std::vector<Room> rooms_;
    /** The workers that have got more free, the latest last. */
    std::deque<std::string> grown_;
    std::uint64_t growth_ = 0;
    /** The workers of grown_, null for those that are not usable; empty if something has changed since. */
    std::optional<std::vector<WorkerCapacity *>> grownCapacities_;
    /** The ids of the workers whose runs have to be collected again. */
    std::vector<std::string> uncollected_;
    Resources largestFree_;
    Resources totalFree_;
    Resources totalCapacity_;
    /** The largest amount of each resource that a usable worker has. */
    Resources largestCapacity_;
    /** The bound of what preemption could free on any worker, by the right of the work that needs it. */
    std::map<PreemptionRight, Resources> largestFreeAfterPreemption_;
};

} // namespace auburndoor
