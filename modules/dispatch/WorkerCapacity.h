#pragma once

#include "dispatch/WorkerState.h"

#include <compare>
#include <limits>
#include <string>
#include <vector>

namespace auburndoor {

/** What a stop of a run for more urgent work would cost; the smallest is the cheapest. */
enum class PreemptionCost {
    /** Its job is past its final deadline, so that no delay matters. */
    Nothing,
    /** Its job would not become late by it. */
    Tolerable,
    /** Its job would become late. */
    MakesLate,
    /** It ends about as soon by itself, or has been preempted often enough: nothing may stop it. */
    Excessive,
};

/** Which runs a step may preempt. */
struct PreemptionRight
{
    /** Only runs of less urgent priorities; 0 is the most urgent. */
    int priority = 0;
    /** Only runs whose stop costs at most this. */
    PreemptionCost maxCost = PreemptionCost::Nothing;
    /** Also runs of accounts that have less than their share of the scarce service. */
    bool mayStopBelowShare = true;

    // clang-tidy 14 takes the zero in the generated comparison for a null pointer.
    auto operator<=>(const PreemptionRight &other) const = default; // NOLINT(modernize-use-nullptr)
};

/** A run that may be stopped to make room for more urgent work. */
struct PreemptibleRun
{
    RunKey key;
    Resources need;
    int priority = 0;
    PreemptionCost cost = PreemptionCost::Tolerable;
    /** The service is scarce, and the run's account has less than its share of it. */
    bool isBelowShare = false;
};

/** Capacity reserved for one task: for the plan of a step's advice, or held for a gang. */
struct CapacityReservation
{
    /** Identifies the step; compared only. */
    const void *step = nullptr;
    int priority = 0;
    Resources need;
};

/** The capacity of a worker as placement sees it: what is free, and what preemption could free. */
struct WorkerCapacity
{
    static constexpr int noPriority = std::numeric_limits<int>::max();

    std::string id;
    WorkerState *worker = nullptr;
    /** Tasks may start on it, as of the last update. */
    bool isUsable = false;
    std::vector<CapacityReservation> reservations;
    /** What will be free once the runs being stopped have ended, less what is planned here. Set by collectRuns(). */
    Resources expectedFree;
    std::vector<PreemptibleRun> preemptibleRuns;
    /** Some runs on the worker are being stopped. */
    bool hasStoppingRuns = false;
    /** The runs were collected since the last update. */
    bool isCollected = false;
    /** The room planned for tasks that wait for runs to be stopped. */
    Resources planned;
    /** The priority of the most urgent work for which room is planned here; less urgent work may not start here. */
    int waitingPriority = noPriority;

    /** Forgets the room that is planned here. */
    void clearPlan();
    /** Follows the start of a task here, which may be one that room was planned for. */
    void recordStart(const Resources &need, int priority);

    /** What a step may use now: the free capacity less the reservations of other steps that are at least as urgent. */
    Resources freeFor(const void *step, int priority) const;

    /** Collects the runs that are being stopped and the preemptible ones. */
    void collectRuns();

    /** True if some run may be preempted. */
    bool hasPreemptibleRuns(const PreemptionRight &right) const;

    /** What would be free after all runs that may be preempted were stopped. */
    Resources freeAfterPreemption(const PreemptionRight &right) const;

    /** True if this much would be free after all runs that may be preempted were stopped, and no more urgent work waits for it. */
    bool fitsAfterPreemption(const Resources &need, const PreemptionRight &right) const;

    /**
        Plans room for one task: subtracts its need from expectedFree, and preempts runs until it fits.

        @return the runs to stop, the least urgent first
    */
    std::vector<RunKey> planTask(const Resources &need, const PreemptionRight &right);
};

} // namespace auburndoor
