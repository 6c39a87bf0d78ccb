#include "placement/BestFitPlacer.h"

#include "placement/WorkerFit.h"

#include <tuple>

namespace auburndoor {

namespace {

/**
    Tasks in the failure domain, free accelerators if the need has none, and sum of the free shares.

    Compared in this order, lowest first.
*/
using Score = std::tuple<int, std::int64_t, double>;

int countTasksInDomain(const PlacementNeed &need, const WorkerView &worker)
{
    if (need.spread.empty()) {
        return 0;
    }
    const auto found = need.spread.find(worker.failureDomain);
    return found == need.spread.end() ? 0 : found->second;
}

/** Sum over cores, memory, accelerators and slots of the share of the worker that is free after the placement. */
double sumFreeShares(const Resources &need, const WorkerView &worker)
{
    const auto left = worker.available() - need;
    const auto share = [](std::int64_t amount, std::int64_t capacity) {
        return capacity > 0 ? static_cast<double>(amount) / static_cast<double>(capacity) : 0.0;
    };
    return share(left.milliCores, worker.capacity.milliCores) + share(left.memoryMiB, worker.capacity.memoryMiB)
           + share(left.accelerators, worker.capacity.accelerators) + share(left.slots, worker.capacity.slots);
}

Score computeScore(const PlacementNeed &need, const WorkerView &worker)
{
    const auto idleAccelerators = need.need.accelerators == 0 ? worker.available().accelerators : 0;
    return { countTasksInDomain(need, worker), idleAccelerators, sumFreeShares(need.need, worker) };
}

} // namespace

std::optional<std::size_t> BestFitPlacer::choose(const PlacementNeed &need, std::span<const WorkerView> workers) const
{
    std::optional<std::size_t> best;
    Score bestScore;
    for (std::size_t index = 0; index < workers.size(); ++index) {
        if (!hasCapacity(need, workers[index])) {
            continue;
        }
        const auto candidate = computeScore(need, workers[index]);
        if (!best || candidate < bestScore) {
            best = index;
            bestScore = candidate;
        }
    }
    return best;
}

} // namespace auburndoor
