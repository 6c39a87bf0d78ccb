#pragma once

#include "placement/Placer.h"

namespace auburndoor {

/** Baseline: chooses the first worker that has capacity for the need. May be called from any thread. */
class FirstFitPlacer : public Placer
{
public:
    std::optional<std::size_t> choose(const PlacementNeed &need, std::span<const WorkerView> workers) const override;
};

} // namespace auburndoor
