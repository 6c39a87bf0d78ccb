#pragma once

#include "placement/WorkerView.h"

#include <cstddef>
#include <map>
#include <optional>
#include <span>

namespace auburndoor {

/** The task or hold to place, and the limits that apply to it. */
struct PlacementNeed
{
    ServiceId service;
    Resources need;
    /** True if the work is expected to run long. */
    bool isLong = false;
    /** Share of the slots of accelerator workers that is reserved for short work, in percent. */
    int shortReservePercent = 0;
    /** Number of tasks of the same service or job in each failure domain. If empty, tasks are not spread. */
    std::map<FailureDomainId, int> spread;
};

/** Chooses a worker for a need from a snapshot of the workers. Implementations may be called from any thread. */
class Placer
{
public:
    virtual ~Placer() = default;

    /** @return the index of a worker for which hasCapacity() is true, or empty if there is none */
    virtual std::optional<std::size_t> choose(const PlacementNeed &need, std::span<const WorkerView> workers) const = 0;
};

} // namespace auburndoor
