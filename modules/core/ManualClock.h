#pragma once

#include "core/Clock.h"

#include <set>

namespace auburndoor {

/**
    A clock for tests, whose time changes only when advance() is called.

    advance() wakes the threads blocked in waitUntil(); a thread returns if its deadline is reached or its predicate is true.
*/
class ManualClock : public Clock
{
public:
    ManualClock();

    TimePoint now() const override;
    WallTime wallNow() const override;
    bool waitUntil(std::unique_lock<std::mutex> &lock,
                   std::condition_variable &condition,
                   TimePoint deadline,
                   const std::function<bool()> &predicate) override;

    /** Moves both the steady and the wall time forward and wakes the waiting threads. */
    void advance(Milliseconds step);

    /** The number of threads blocked in waitUntil(), so that a test can advance the time after a thread has begun to wait. */
    std::size_t waiterCount() const;

private:
    mutable std::mutex mutex_;
    TimePoint now_;
    WallTime wallNow_;
    std::multiset<std::condition_variable *> waiters_;
};

} // namespace auburndoor
