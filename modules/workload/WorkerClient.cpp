#include "workload/WorkerClient.h"

namespace auburndoor {

std::string_view name(CommandOutcome outcome)
{
    switch (outcome) {
    case CommandOutcome::Accepted:
        return "accepted";
    case CommandOutcome::Fenced:
        return "fenced";
    case CommandOutcome::Superseded:
        return "superseded";
    case CommandOutcome::LeaseExpired:
        return "lease-passed";
    case CommandOutcome::NoCapacity:
        return "no-room";
    case CommandOutcome::PermitRejected:
        return "permit-rejected";
    case CommandOutcome::Malformed:
        return "malformed";
    case CommandOutcome::Unavailable:
        return "unhealthy";
    case CommandOutcome::WrongWorker:
        return "other-worker";
    case CommandOutcome::NotSent:
        return "not-sent";
    case CommandOutcome::OtherIncarnation:
        return "other-incarnation";
    case CommandOutcome::Unknown:
        break;
    }
    return "unknown";
}

std::string_view name(RunOutcome outcome)
{
    switch (outcome) {
    case RunOutcome::Done:
        return "done";
    case RunOutcome::Failed:
        return "failed";
    case RunOutcome::Stopped:
        return "stopped";
    case RunOutcome::LeaseExpired:
        return "lapsed";
    case RunOutcome::GangMemberEnded:
        return "broken";
    case RunOutcome::GangIncomplete:
        break;
    }
    return "alone";
}

} // namespace auburndoor
