#pragma once

#include "core/Identifier.h"
#include "core/Resources.h"

namespace auburndoor {

/** Snapshot of one worker, as read by placement decisions. */
struct WorkerView
{
    WorkerId id;
    ServiceId service;
    FailureDomainId failureDomain;
    Resources capacity;
    /** Sum of the needs of the tasks and holds on the worker. */
    Resources used;
    /** Number of entries on the worker that are expected to run long. */
    int longTasks = 0;
    /** True if the worker accepts new work; false while it is leaving, quarantined or not yet claimed by its owner. */
    bool isOpen = true;

    Resources available() const
    {
        return capacity - used;
    }
};

} // namespace auburndoor
