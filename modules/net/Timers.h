#pragma once

#include "core/Clock.h"

#include <functional>

namespace auburndoor {

/** Runs actions later on the thread of the event loop. Tests replace it to advance time by hand. */
class Timers
{
public:
    virtual ~Timers() = default;

    /** The steady time of the loop. */
    virtual TimePoint now() const = 0;

    /** The steady time that also counts while the machine is suspended. Its zero is another than that of now(). */
    virtual TimePoint bootNow() const
    {
        return now();
    }

    /** The wall time, in milliseconds since 1970; it may jump. */
    virtual std::chrono::milliseconds wallNow() const = 0;

    /** Runs an action once after a delay. It cannot be cancelled: the action checks whether it is still wanted. */
    virtual void after(Milliseconds delay, std::function<void()> action) = 0;
};

} // namespace auburndoor
