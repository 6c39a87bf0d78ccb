#pragma once

#include "core/Clock.h"

#include <functional>

namespace auburndoor {

/** The clocks and timers of an event loop. Tests replace it to advance time by hand. */
class Timers
{
public:
    virtual ~Timers() = default;

    /** The current time on the steady clock. */
    virtual TimePoint now() const = 0;

    /** The time on a steady clock that also advances while the machine is suspended. Its epoch differs from that of now(). */
    virtual TimePoint bootNow() const
    {
        return now();
    }

    /** The current wall time, since 1970; it may jump. */
    virtual std::chrono::milliseconds wallNow() const = 0;

    /** Runs an action once after a delay, on the loop's thread. It can't be cancelled: it must check if it is still needed. */
    virtual void after(Milliseconds delay, std::function<void()> action) = 0;
};

} // namespace auburndoor
