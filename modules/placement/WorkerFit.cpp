#include "placement/WorkerFit.h"

#include <algorithm>

namespace auburndoor {

long long longTaskLimit(const Resources &capacity, int shortReservePercent)
{
    if (capacity.accelerators == 0) {
        return capacity.slots;
    }
    constexpr long long wholePercent = 100;
    // Rounding down gives 0 on a worker with few slots, which could then never run long work.
    return std::max<long long>(1, capacity.slots * (wholePercent - shortReservePercent) / wholePercent);
}

bool hasCapacity(const PlacementNeed &need, const WorkerView &worker)
{
    if (!worker.isOpen || !need.need.fitsIn(worker.available()) || worker.service != need.service) {
        return false;
    }
    return !need.isLong || worker.longTasks < longTaskLimit(worker.capacity, need.shortReservePercent);
}

int freePlaces(const PlacementNeed &need, const WorkerView &worker)
{
    if (!hasCapacity(need, worker)) {
        return 0;
    }
    const auto available = worker.available();
    // The start value is an upper bound, lowered by each resource that is needed. A need of zero keeps the larger of the free slots
    // and connections, at least 1.
    long long places = need.need == Resources {} ? 1 : std::max(available.milliCores, available.memoryMiB);
    const auto applyLimit = [&places](std::int64_t amount, std::int64_t amountPerTask) {
        if (amountPerTask > 0) {
            places = std::min<long long>(places, amount / amountPerTask);
        }
    };
    places = std::max({ places, static_cast<long long>(available.slots), static_cast<long long>(available.connections) });
    applyLimit(available.milliCores, need.need.milliCores);
    applyLimit(available.memoryMiB, need.need.memoryMiB);
    applyLimit(available.accelerators, need.need.accelerators);
    applyLimit(available.slots, need.need.slots);
    applyLimit(available.connections, need.need.connections);
    if (need.isLong) {
        places = std::min(places, longTaskLimit(worker.capacity, need.shortReservePercent) - worker.longTasks);
    }
    return static_cast<int>(places);
}

} // namespace auburndoor
