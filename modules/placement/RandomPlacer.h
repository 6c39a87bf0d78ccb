#pragma once

#include "placement/Placer.h"

#include <atomic>
#include <cstdint>

namespace auburndoor {

/** Baseline: chooses any worker that has room, with the same sequence for the same seed on one thread. Any thread. */
class RandomPlacer : public Placer
{
public:
    explicit RandomPlacer(std::uint64_t seed);

    std::optional<std::size_t> choose(const PlacementNeed &need, std::span<const WorkerView> workers) const override;

private:
    /** State of the generator; each draw adds a constant, so that threads need no lock. */
    mutable std::atomic<std::uint64_t> state_;
};

} // namespace auburndoor
