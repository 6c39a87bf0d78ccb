#pragma once

#include "storage/TableService.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <set>

namespace auburndoor {

/**
    A token bucket that limits the table transactions of this instance to its share of the cell's writes.

    Waiters are served by purpose, in the order of WritePurpose, then by arrival; a waiter of a lower purpose never takes a token
    while one of a higher purpose waits. The bucket holds the tokens of 100 ms, at least one. Any thread.
*/
class WriteBudget
{
public:
    /** @param cellWritesPerSecond for all instances together, above 0 */
    WriteBudget(double cellWritesPerSecond, Clock &clock);

    /** Sets the number of instances that share the cell's budget. @param count values below 1 count as 1 */
    void setLiveInstances(int count);

    /** Waits for a token. @return false with Throttled if none came before the deadline */
    bool acquire(WritePurpose purpose, TimePoint deadline, Failure &failure);

    /** As above; also returns false, with Cancelled, once the flag is set and wakeWaiters() was called. */
    bool acquire(WritePurpose purpose, TimePoint deadline, const std::atomic<bool> &isCancelled, Failure &failure);

    /** Makes the waiters look at their cancellation flags. */
    void wakeWaiters();

    /** Returns a token that was not used. */
    void giveBack();

private:
    struct Waiter
    {
        WritePurpose purpose;
        long long ticket;
        auto operator<=>(const Waiter &other) const = default;
    };

    double rate() const;
    double capacity() const;
    void refill();
    TimePoint nextTokenTime() const;
    void leave(const Waiter &waiter);

    const double cellWritesPerSecond_;
    Clock &clock_;
    std::mutex mutex_;
    std::condition_variable condition_;
    int liveInstances_ = 1;
    double tokens_;
    TimePoint refilledAt_;
    std::set<Waiter> waiters_;
    long long lastTicket_ = 0;
    /** Rises when the first waiter or the rate may have changed. */
    long long generation_ = 0;
};

} // namespace auburndoor
