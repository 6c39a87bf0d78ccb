#include "placement/WorkerFit.h"

#include <algorithm>

namespace auburndoor {

long long longTaskLimit(const Resources &capacity, int shortReservePercent)
{
    if (capacity.accelerators == 0) {
        return capacity.slots;
    }
    constexpr long long wholePercent = 100;
    // A worker with few slots would otherwise never take long work.
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
    // Without any need the number of places has no limit of its own; one place per worker is reported.
    long long places = need.need == Resources {} ? 1 : std::max(available.milliCores, available.memoryMiB);
    const auto limitBy = [&places](std::int64_t amount, std::int64_t each) {
        if (each > 0) {
            places = std::min<long long>(places, amount / each);
        }
    };
    places = std::max({ places, static_cast<long long>(available.slots), static_cast<long long>(available.connections) });
    limitBy(available.milliCores, need.need.milliCores);
    limitBy(available.memoryMiB, need.need.memoryMiB);
    limitBy(available.accelerators, need.need.accelerators);
    limitBy(available.slots, need.need.slots);
    limitBy(available.connections, need.need.connections);
    if (need.isLong) {
        places = std::min(places, longTaskLimit(worker.capacity, need.shortReservePercent) - worker.longTasks);
    }
    return static_cast<int>(places);
}

} // namespace auburndoor
