#pragma once

#include "dispatch/Run.h"
#include "workload/WorkerClient.h"

#include <cstdint>
#include <string>

namespace auburndoor {

/** Why and when a run was given up without a listed end. */
struct LostRun
{
    RunLoss loss = RunLoss::Missing;
    /** Why its start was refused or not sent; else Unknown. */
    CommandOutcome outcome = CommandOutcome::Unknown;
    TimePoint lostAt;
    /** As Run::incarnation. */
    std::int64_t incarnation = 0;
    /** As Run::stopReason. */
    std::string stopReason;
    /** As Run::isUnwanted. */
    bool isUnwanted = false;
    /** When the last lease on its worker ended, or was to end, as known at the loss. */
    TimePoint leaseEnd;
    /** When the last report of its worker before the loss arrived. */
    TimePoint reportedAt;
};

} // namespace auburndoor
