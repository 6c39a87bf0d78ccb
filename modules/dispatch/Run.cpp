#include "dispatch/Run.h"

namespace auburndoor {

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
