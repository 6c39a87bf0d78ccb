#pragma once

#include "placement/Placer.h"

namespace auburndoor {

/**
    Chooses the worker that is left with the least room, so that whole workers stay free for large needs.

    Failure domains with fewer tasks of the same service or job come first. Work without accelerators goes where the fewest
    accelerators are free. Any thread.
*/
class BestFitPlacer : public Placer
{
public:
    std::optional<std::size_t> choose(const PlacementNeed &need, std::span<const WorkerView> workers) const override;
};

} // namespace auburndoor
