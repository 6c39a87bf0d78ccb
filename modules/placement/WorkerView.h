#pragma once

#include "core/Identifier.h"
#include "core/Resources.h"

namespace auburndoor {

/** What a placement decision knows of one worker. */
struct WorkerView
{
    WorkerId id;
    ServiceId service;
    FailureDomainId failureDomain;
    Resources capacity;
    /** Sum of the needs of the tasks and holds on it. */
    Resources used;
    /** Tasks on it that are expected to run long. */
    int longTasks = 0;
    /** False while it is leaving, quarantined or not yet claimed. */
    bool isOpen = true;

    Resources available() const
    {
        return capacity - used;
    }
};

} // namespace auburndoor
