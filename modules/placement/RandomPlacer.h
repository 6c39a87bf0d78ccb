#pragma once

#include "placement/Placer.h"

#include <atomic>
#include <cstdint>

namespace auburndoor {

/**
    Baseline: chooses with equal probability among the workers that have capacity for the need.

    Calls from a single thread give the same sequence of choices for the same seed. May be called from any thread.
*/
class RandomPlacer : public Placer
{
public:
    explicit RandomPlacer(std::uint64_t seed);

    std::optional<std::size_t> choose(const PlacementNeed &need, std::span<const WorkerView> workers) const override;

private:
    /** State of the SplitMix64 generator. Each draw adds a constant atomically, so that no lock is needed. */
    mutable std::atomic<std::uint64_t> generatorState_;
};

} // namespace auburndoor
