#include "dispatch/WorkerCapacity.h"

#include "dispatch/PreemptionValue.h"

#include <algorithm>

namespace auburndoor {

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
            preemptibleRuns.push_back({ key, run.claim.need, run.claim.priority, StopCost() });
        }
    }
}

bool WorkerCapacity::hasPreemptibleRuns(const PreemptionRight &right) const
{
    return std::any_of(preemptibleRuns.begin(), preemptibleRuns.end(), [&right](const auto &run) {
        return PreemptionValue::isAllowed(run, right);
    });
}

Resources WorkerCapacity::freeAfterPreemption(const PreemptionRight &right) const
{
    auto result = expectedFree;
    for (const auto &run : preemptibleRuns) {
        if (PreemptionValue::isAllowed(run, right)) {
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

bool WorkerCapacity::fitsWithoutPreemption(const void *step, const Resources &need, int priority) const
{
    return waitingPriority >= priority && need.fitsIn(expectedFree) && need.fitsIn(freeFor(step, priority));
}

WorkAmount WorkerCapacity::lossFor(const Resources &need, const PreemptionRight &right) const
{
    WorkAmount loss = 0;
    for (const auto index : PreemptionValue::chooseStops(preemptibleRuns, need, expectedFree, right)) {
        loss += PreemptionValue::weigh(preemptibleRuns[index], right);
    }
    return loss;
}

std::vector<RunKey> WorkerCapacity::planTask(const Resources &need, const PreemptionRight &right)
{
    std::vector<RunKey> stopped;
    auto chosen = PreemptionValue::chooseStops(preemptibleRuns, need, expectedFree, right);
    std::sort(chosen.begin(), chosen.end(), std::greater<>());
    for (const auto index : chosen) {
        const auto run = preemptibleRuns.begin() + static_cast<std::ptrdiff_t>(index);
        expectedFree += run->need;
        stopped.push_back(run->key);
        preemptibleRuns.erase(run);
    }
    expectedFree -= need;
    planned += need;
    waitingPriority = std::min(waitingPriority, right.priority);
    return stopped;
}

} // namespace auburndoor
