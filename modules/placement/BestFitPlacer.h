#pragma once

#include "placement/Placer.h"

namespace auburndoor {

/**
    Chooses the worker with the least capacity left after the placement, so that whole workers stay free for large needs.

    Workers in the failure domain with the fewest tasks of the same service or job are preferred. Next, work that needs no
    accelerators prefers the workers with the fewest free accelerators. May be called from any thread.
*/
class BestFitPlacer : public Placer
{
public:
    std::optional<std::size_t> choose(const PlacementNeed &need, std::span<const WorkerView> workers) const override;
};

} // namespace auburndoor
