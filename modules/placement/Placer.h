#pragma once

#include "placement/WorkerView.h"

#include <cstddef>
#include <map>
#include <optional>
#include <span>

namespace auburndoor {

/** What is to be placed. */
struct PlacementNeed
{
    ServiceId service;
    Resources need;
    /** True if it is expected to run long. */
    bool isLong = false;
    /** Share of the slots of accelerator workers that long work may not fill, in percent. */
    int shortReservePercent = 0;
    /** Tasks of the same service or job in each failure domain, for spreading; may be empty. */
    std::map<FailureDomainId, int> spread;
};

/** Chooses a worker; a pure decision over a snapshot. */
class Placer
{
public:
    virtual ~Placer() = default;

    /** @return the index of the chosen worker, or empty if none has room. Only open workers of the service are chosen. */
    virtual std::optional<std::size_t> choose(const PlacementNeed &need, std::span<const WorkerView> workers) const = 0;
};

} // namespace auburndoor
