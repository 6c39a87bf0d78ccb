#include "placement/RandomPlacer.h"

#include "placement/WorkerFit.h"

namespace auburndoor {

namespace {

/** The output function of SplitMix64. */
std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    value = (value ^ (value >> 27U)) * 0x94D049BB133111EBULL;
    return value ^ (value >> 31U);
}

} // namespace

RandomPlacer::RandomPlacer(std::uint64_t seed) : generatorState_(seed)
{
}

std::optional<std::size_t> RandomPlacer::choose(const PlacementNeed &need, std::span<const WorkerView> workers) const
{
    constexpr std::uint64_t increment = 0x9E3779B97F4A7C15ULL;
    std::optional<std::size_t> chosen;
    std::uint64_t fittingWorkers = 0;
    for (std::size_t index = 0; index < workers.size(); ++index) {
        if (!hasCapacity(need, workers[index])) {
            continue;
        }
        // Reservoir sampling: the n-th worker that fits replaces the choice with probability 1/n.
        ++fittingWorkers;
        if (mix(generatorState_.fetch_add(increment)) % fittingWorkers == 0) {
            chosen = index;
        }
    }
    return chosen;
}

} // namespace auburndoor
