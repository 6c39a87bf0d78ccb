#include "dispatch/WorkerCapacity.h"

#include <algorithm>
#include <tuple>

namespace auburndoor {

namespace {

bool mayPreempt(const PreemptibleRun &run, const PreemptionRight &right)
{
    return run.priority > right.priority && run.cost <= right.maxCost && (right.mayStopBelowShare || !run.isBelowShare);
}

} // namespace

void WorkerCapacity::clearPlan()
{
    planned = Resources();
    waitingPriority = noPriority;
}

void WorkerCapacity::recordStart(const Resources &need, int priority)
{
    expectedFree -= need;
    if (waitingPriority < noPriority && priority <= waitingPriority) {
        clearPlan();
    }
}

Resources WorkerCapacity::freeFor(const void *step, int priority) const
{
    if (waitingPriority < priority) {
        // Negative amounts: no task fits.
        return { -1, -1, -1, 0, 0 };
    }
    auto free = worker->free();
    for (const auto &hold : reservations) {
        if (hold.step != step && hold.priority <= priority) {
            free -= hold.need;
        }
    }
    return free;
}

void WorkerCapacity::collectRuns()
{
    isCollected = true;
    hasStoppingRuns = false;
    preemptibleRuns.clear();
    expectedFree = worker->free() - planned;
    for (const auto &[key, run] : worker->runs) {
        if (run.phase == Run::Phase::Stopping) {
            expectedFree += run.claim.need;
            hasStoppingRuns = true;
        } else if (run.phase == Run::Phase::Running && run.claim.isPreemptible) {
            preemptibleRuns.push_back({ key, run.claim.need, run.claim.priority, PreemptionCost::Tolerable });
        }
    }
}

bool WorkerCapacity::hasPreemptibleRuns(const PreemptionRight &right) const
{
    return std::any_of(
        preemptibleRuns.begin(), preemptibleRuns.end(), [&right](const auto &run) { return mayPreempt(run, right); });
}

Resources WorkerCapacity::freeAfterPreemption(const PreemptionRight &right) const
{
    auto result = expectedFree;
    for (const auto &run : preemptibleRuns) {
        if (mayPreempt(run, right)) {
            result += run.need;
        }
    }
    return result;
}

bool WorkerCapacity::fitsAfterPreemption(const Resources &need, const PreemptionRight &right) const
{
    return waitingPriority >= right.priority && (hasStoppingRuns || hasPreemptibleRuns(right))
           && need.fitsIn(freeAfterPreemption(right));
}

std::vector<RunKey> WorkerCapacity::planTask(const Resources &need, const PreemptionRight &right)
{
    std::vector<RunKey> stopped;
    // The least urgent runs first, and of equal priority the largest first, so that few runs are stopped.
    std::stable_sort(preemptibleRuns.begin(), preemptibleRuns.end(), [](const PreemptibleRun &left, const PreemptibleRun &right) {
        return std::tuple(left.priority, left.need.accelerators, left.need.milliCores)
               > std::tuple(right.priority, right.need.accelerators, right.need.milliCores);
    });
    for (auto run = preemptibleRuns.begin(); run != preemptibleRuns.end() && !need.fitsIn(expectedFree);) {
        if (!mayPreempt(*run, right)) {
            ++run;
            continue;
        }
        expectedFree += run->need;
        stopped.push_back(run->key);
        run = preemptibleRuns.erase(run);
    }
    expectedFree -= need;
    planned += need;
    waitingPriority = std::min(waitingPriority, right.priority);
    return stopped;
}

} // namespace auburndoor
