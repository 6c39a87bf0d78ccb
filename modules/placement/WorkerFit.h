#pragma once

#include "placement/Placer.h"

namespace auburndoor {

/** The number of long tasks that a worker may run; its slots if it has no accelerators. Never below one. */
long long longTaskLimit(const Resources &capacity, int shortReservePercent);

/** True if the worker is open, belongs to the service and has room, within the limit on long tasks. The rule of all placers. */
bool hasCapacity(const PlacementNeed &need, const WorkerView &worker);

/** The number of tasks of the need that the worker can take now. */
int freePlaces(const PlacementNeed &need, const WorkerView &worker);

} // namespace auburndoor
