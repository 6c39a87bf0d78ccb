#pragma once

#include "core/Clock.h"

#include <set>

namespace auburndoor {

/**
    A clock for tests: time stands still until advance() is called.

    Threads inside waitUntil() are woken by advance() when their deadline is reached.
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

    /** The number of threads that wait now; lets a test advance only once a thread has gone to wait. */
    std::size_t waiterCount() const;

private:
    mutable std::mutex mutex_;
    TimePoint now_;
    WallTime wallNow_;
    std::multiset<std::condition_variable *> waiters_;
};

} // namespace auburndoor
