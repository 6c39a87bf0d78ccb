#include "workload/StateStore.h"

namespace auburndoor {

std::string_view name(StoreOutcome outcome)
{
    switch (outcome) {
    case StoreOutcome::Done:
        return "done";
    case StoreOutcome::Conflict:
        return "conflict";
    case StoreOutcome::HistoryCompacted:
        return "history-lost";
    case StoreOutcome::NotDone:
        return "not-done";
    case StoreOutcome::Rejected:
        return "rejected";
    case StoreOutcome::Unknown:
        break;
    }
    return "unknown";
}

} // namespace auburndoor
