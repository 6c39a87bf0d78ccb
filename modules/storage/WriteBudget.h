#pragma once

#include "storage/TableService.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <set>

namespace auburndoor {

/**
    A token bucket that limits the table transactions of this instance to its share of the cell's transactions.

    Waiters are served in the order of WritePurpose, then of arrival; a waiter never takes a token while one of an earlier purpose
    waits. The bucket holds the tokens of 100 ms, at least one. Thread-safe.
*/
class WriteBudget
{
public:
    /** @param cellWritesPerSecond table transactions per second of all instances together, above 0 */
    WriteBudget(double cellWritesPerSecond, Clock &clock);

    /** Sets the number of instances that share the cell's budget evenly. @param count values below 1 count as 1 */
    void setLiveInstances(int count);

    /** Waits for a token. @return false with Throttled if none came before the deadline */
    bool acquire(WritePurpose purpose, TimePoint deadline, Failure &failure);

    /** As above; also returns false, with Cancelled, once the flag is set and wakeWaiters() was called. */
    bool acquire(WritePurpose purpose, TimePoint deadline, const std::atomic<bool> &isCancelled, Failure &failure);

    /** Makes the waiters check their cancellation flags. */
    void wakeWaiters();

    /** Puts an unused token back into the bucket. */
    void returnToken();

private:
    struct Waiter
    {
        WritePurpose purpose;
        /** Grows with each arrival. */
        long long ticket;
        auto operator<=>(const Waiter &other) const = default;
    };

    /** Tokens per second of this instance. */
    double rate() const;
    /** The most tokens that the bucket holds. */
    double capacity() const;
    /** Adds the tokens of the time since the last refill. */
    void refillTokens();
    /** When the bucket will hold a whole token. */
    TimePoint nextTokenTime() const;
    void removeWaiter(const Waiter &waiter);

    const double cellWritesPerSecond_;
    Clock &clock_;
    std::mutex mutex_;
    std::condition_variable condition_;
    int liveInstances_ = 1;
    double tokens_;
    TimePoint refilledAt_;
    std::set<Waiter> waiters_;
    long long lastTicket_ = 0;
    /** Incremented when the first waiter or the rate may have changed. */
    long long generation_ = 0;
};

} // namespace auburndoor
