#include "dispatch/Run.h"

#include <functional>

namespace auburndoor {

void Run::noteCheckpoint(const std::string &checkpoint, TimePoint now)
{
    const auto hash = checkpoint.empty() ? checkpointHash : std::hash<std::string>()(checkpoint);
    if (hash != checkpointHash) {
        checkpointHash = hash;
        checkpointedAt = now;
    }
}

std::string_view name(RunLoss loss)
{
    switch (loss) {
    case RunLoss::WorkerRestarted:
        return "worker-restarted";
    case RunLoss::WorkerLeft:
        return "worker-left";
    case RunLoss::WorkerReplaced:
        return "worker-replaced";
    case RunLoss::LeaseExpired:
        return "lease-passed";
    case RunLoss::NeverStarted:
        return "never-started";
    case RunLoss::Missing:
        return "missing";
    case RunLoss::Refused:
        break;
    }
    return "refused";
}

} // namespace auburndoor
