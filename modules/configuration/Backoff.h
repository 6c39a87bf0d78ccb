#pragma once

#include "core/Clock.h"

namespace auburndoor {

/**
    Exponential backoff between attempts: 50 ms, doubling up to 1 s.

    Each wait is drawn at random from 50 to 100 % of that time, so that clients do not retry at the same moment.
    Not thread-safe: each object is used by one thread.
*/
class Backoff
{
public:
    explicit Backoff(Clock &clock);

    /** Blocks until the next attempt is due or the deadline is reached. @return false if the deadline has been reached */
    bool wait(TimePoint deadline);

private:
    Clock &clock_;
    Milliseconds nextWait_;
};

} // namespace auburndoor
