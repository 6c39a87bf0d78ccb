#include "workload/WorkerOrders.h"

namespace auburndoor {

std::string_view name(OrderOutcome outcome)
{
    switch (outcome) {
    case OrderOutcome::Accepted:
        return "accepted";
    case OrderOutcome::Fenced:
        return "fenced";
    case OrderOutcome::Superseded:
        return "superseded";
    case OrderOutcome::LeasePassed:
        return "lease-passed";
    case OrderOutcome::NoRoom:
        return "no-room";
    case OrderOutcome::PermitRejected:
        return "permit-rejected";
    case OrderOutcome::Malformed:
        return "malformed";
    case OrderOutcome::Unhealthy:
        return "unhealthy";
    case OrderOutcome::OtherWorker:
        return "other-worker";
    case OrderOutcome::NotSent:
        return "not-sent";
    case OrderOutcome::Unknown:
        break;
    }
    return "unknown";
}

std::string_view name(RunEnd end)
{
    switch (end) {
    case RunEnd::Done:
        return "done";
    case RunEnd::Failed:
        return "failed";
    case RunEnd::Stopped:
        return "stopped";
    case RunEnd::Lapsed:
        return "lapsed";
    case RunEnd::Broken:
        return "broken";
    case RunEnd::Alone:
        break;
    }
    return "alone";
}

} // namespace auburndoor
