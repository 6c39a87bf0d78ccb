#pragma once

#include "core/Clock.h"

namespace auburndoor {

/** Waits between attempts: doubling from 50 ms to 1 s, each with jitter so that clients do not return together. One thread. */
class Backoff
{
public:
    explicit Backoff(Clock &clock);

    /** Waits before the next attempt, at most until the deadline. @return false if the deadline has been reached */
    bool wait(TimePoint deadline);

private:
    Clock &clock_;
    Milliseconds next_;
};

} // namespace auburndoor
