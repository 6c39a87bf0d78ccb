#pragma once

#include "core/Clock.h"
#include "core/Identifier.h"
#include "core/Resources.h"
#include "declaration/Declaration.h"

namespace auburndoor {

/** What the queue knows of a request that waits for room. */
struct QueueEntry
{
    RequestId id;
    TeamId team;
    Priority priority = Priority::Normal;
    Resources need;
    /** True if it is expected to run long. */
    bool isLong = false;
    TimePoint arrival;
    /** When the caller gives up. */
    TimePoint deadline;
    /** Zero if not known. */
    Milliseconds expectedRunTime { 0 };

    /**
        The last moment at which a start makes sense.

        A start after it would most likely end past the deadline and waste the room. An estimate that is far too long takes at most
        half of the time that the caller gave.
    */
    TimePoint latestStart() const;
};

} // namespace auburndoor
