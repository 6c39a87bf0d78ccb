#pragma once

#include "core/Clock.h"
#include "core/Identifier.h"
#include "core/Resources.h"
#include "declaration/Declaration.h"

namespace auburndoor {

/** A request that waits in a WaitQueue for capacity on a worker. */
struct QueueEntry
{
    RequestId id;
    TeamId team;
    Priority priority = Priority::Normal;
    Resources need;
    /** True if the request is expected to run long. */
    bool isLong = false;
    TimePoint arrival;
    /** When the caller stops waiting for the answer. */
    TimePoint deadline;
    /** Expected run time; zero if not known. */
    Milliseconds expectedRunTime { 0 };

    /**
        The last time at which the request is started: the deadline minus the expected run time.

        A later start would most likely end after the deadline and waste capacity. At most half of the time from arrival to deadline
        is subtracted, so that an estimate that is far too long does not prevent every start.
    */
    TimePoint latestStart() const;
};

} // namespace auburndoor
