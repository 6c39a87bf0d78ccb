#pragma once

#include "placement/Placer.h"

namespace auburndoor {

/**
    The number of long tasks that a worker may run at the same time.

    A worker without accelerators may use all its slots. With accelerators it keeps shortReservePercent of its slots for short work,
    but may always run one long task.
*/
long long longTaskLimit(const Resources &capacity, int shortReservePercent);

/**
    True if the worker is open, belongs to the service, and can take the need within its capacity and its limit on long tasks.

    All placers and the ledger use this check.
*/
bool hasCapacity(const PlacementNeed &need, const WorkerView &worker);

/** The number of tasks with this need that the worker can take now: its free places. Zero if hasCapacity() is false. */
int freePlaces(const PlacementNeed &need, const WorkerView &worker);

} // namespace auburndoor
