#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>

namespace auburndoor {

/** A moment on the steady clock of this process. */
using TimePoint = std::chrono::steady_clock::time_point;

/** A moment on the wall clock; used only for records and for the latest start times sent to workers. */
using WallTime = std::chrono::system_clock::time_point;

using Milliseconds = std::chrono::milliseconds;

/**
    The source of time for the whole library.

    Daemons use SystemClock; tests use ManualClock, whose time moves only when a test advances it. All members may be
    called from any thread.
*/
class Clock
{
public:
    virtual ~Clock() = default;

    /** The steady time, which never goes back. */
    virtual TimePoint now() const = 0;

    /** The wall time. */
    virtual WallTime wallNow() const = 0;

    /**
        Blocks the calling thread until the predicate is true or the deadline is reached.

        @param lock      a held lock on the mutex that guards the predicate's state
        @param condition must be notified after each change of that state
        @return          the value of the predicate when the wait ends
    */
    virtual bool waitUntil(std::unique_lock<std::mutex> &lock,
                           std::condition_variable &condition,
                           TimePoint deadline,
                           const std::function<bool()> &predicate)
        = 0;
};

} // namespace auburndoor
