#pragma once

#include "net/Timers.h"

namespace auburndoor {

/** When a call was sent, on both clocks of a process. */
struct CallTime
{
    /** On the steady clock, which the leases of workers are reckoned on. */
    TimePoint steady;
    /** On the boot clock, which also advances while the machine is suspended. */
    TimePoint boot;

    /** The present time. */
    static CallTime now(const Timers &timers)
    {
        return { timers.now(), timers.bootNow() };
    }
};

} // namespace auburndoor
