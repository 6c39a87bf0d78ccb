#pragma once

#include "core/Clock.h"

#include <cstdint>

namespace auburndoor {

class Timers;

/** Tracks the clock of one worker, and converts lease durations into deadlines on that clock. Used on the loop's thread. */
class WorkerLease
{
public:
    /** @param maxLease the longest lease that a worker accepts; longer ones are shortened to it */
    WorkerLease(Timers &timers, Milliseconds maxLease);

    /** Records a reading of the worker's clock that has just arrived. */
    void updateClock(Milliseconds workerClock);

    /**
        The worker has restarted: its clock is unknown until the next reading. Moves end(), unless it is long over, since deadlines
        on the former clock may have given the worker the longest lease.
    */
    void resetClock();

    /** True if the clock was read since the last resetClock(). */
    bool isClockKnown() const;

    /** Converts a lease that begins now into its deadline on the worker's clock, and moves end() accordingly. */
    Milliseconds grant(Milliseconds lease);

    /** The latest time, on this process's clock, at which a granted lease ends; allows for a slow worker clock. */
    TimePoint end() const;

    /** When the last lease was granted; TimePoint() before the first one. */
    TimePoint lastGrantAt() const;

private:
    Timers &timers_;
    Milliseconds maxLease_;
    /** The last reading of the worker's clock, and when it arrived. */
    Milliseconds workerClock_ { 0 };
    TimePoint clockReceivedAt_;
    bool isClockKnown_ = false;
    TimePoint end_;
    TimePoint lastGrantAt_;
};

} // namespace auburndoor
