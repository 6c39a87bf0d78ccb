#include "placement/FirstFitPlacer.h"

#include "placement/WorkerFit.h"

namespace auburndoor {

std::optional<std::size_t> FirstFitPlacer::choose(const PlacementNeed &need, std::span<const WorkerView> workers) const
{
    for (std::size_t index = 0; index < workers.size(); ++index) {
        if (hasCapacity(need, workers[index])) {
            return index;
        }
    }
    return std::nullopt;
}

} // namespace auburndoor
