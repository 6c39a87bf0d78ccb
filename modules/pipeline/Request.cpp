#include "pipeline/Request.h"

namespace auburndoor {

std::string_view name(OutcomeStatus status)
{
    switch (status) {
    case OutcomeStatus::Answered:
        return "answered";
    case OutcomeStatus::TaskFailed:
        return "task-failed";
    case OutcomeStatus::NotRun:
        return "not-run";
    case OutcomeStatus::Unknown:
        break;
    }
    return "unknown";
}

} // namespace auburndoor
