#include "dispatch/PreemptionValue.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace auburndoor {

namespace {

/** The work of a run in the time that a stop of it takes: a measure of the room that the stop frees. */
WorkAmount roomOf(const PreemptibleRun &run)
{
    return std::max<WorkAmount>(workOf(run.need, PreemptionValue::stopTime), 1);
}

} // namespace

WorkAmount PreemptionValue::lossOf(const StopCandidate &run)
{
    if (run.cost == PreemptionCost::Nothing) {
        return 0;
    }
    // A run that has taken longer than its estimate has not done more work by it.
    const auto unsaved = run.estimate > Milliseconds(0) ? std::min(run.sinceSaved, run.estimate) : run.sinceSaved;
    const auto lateness = run.cost == PreemptionCost::MakesLate ? run.estimate : Milliseconds(0);
    return workOf(run.need, unsaved + stopTime + lateness);
}

WorkAmount PreemptionValue::gainOf(const Resources &need, Milliseconds estimate)
{
    return estimate > Milliseconds(0) ? workOf(need, estimate) : unlimited;
}

WorkAmount PreemptionValue::weigh(const PreemptibleRun &run, const PreemptionRight &right)
{
    return run.stop.loss / (1 + std::max(run.priority - right.priority, 0));
}

bool PreemptionValue::isAllowed(const PreemptibleRun &run, const PreemptionRight &right)
{
    return run.priority > right.priority && run.stop.cost <= right.maxCost && (right.mayStopBelowShare || !run.isBelowShare);
}

std::vector<std::size_t> PreemptionValue::chooseStops(const std::vector<PreemptibleRun> &runs,
                                                      const Resources &need,
                                                      Resources expectedFree,
                                                      const PreemptionRight &right)
{
    std::vector<std::size_t> chosen;
    if (need.fitsIn(expectedFree)) {
        return chosen;
    }
    std::vector<std::size_t> order(runs.size());
    std::iota(order.begin(), order.end(), 0U);
    std::erase_if(order, [&](std::size_t index) { return !isAllowed(runs[index], right); });
    // Of runs that lose alike the least urgent go first, and of these the largest, so that few runs are stopped.
    const auto key = [&](std::size_t index) {
        const auto &run = runs[index];
        const auto lossForRoom = static_cast<double>(weigh(run, right)) / static_cast<double>(roomOf(run));
        return std::tuple(lossForRoom, -run.priority, -run.need.accelerators, -run.need.milliCores, index);
    };
    std::sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) { return key(left) < key(right); });
    for (auto next = order.begin(); next != order.end() && !need.fitsIn(expectedFree); ++next) {
        expectedFree += runs[*next].need;
        chosen.push_back(*next);
    }
    if (!need.fitsIn(expectedFree)) {
        return {};
    }
    // Small runs in front may be dispensable once a larger one makes the room.
    for (auto next = chosen.begin(); next != chosen.end();) {
        const auto without = expectedFree - runs[*next].need;
        const bool isDispensable = need.fitsIn(without);
        expectedFree = isDispensable ? without : expectedFree;
        next = isDispensable ? chosen.erase(next) : std::next(next);
    }
    return chosen;
}

} // namespace auburndoor
