#include "storage/WriteBudget.h"

#include "core/Failure.h"

#include <algorithm>

namespace auburndoor {

namespace {

/** Capacity of the bucket in seconds of its rate: enough for the writes of a heartbeat, too little to exceed the cell's rate. */
constexpr double burstSeconds = 0.1;

} // namespace

WriteBudget::WriteBudget(double cellWritesPerSecond, Clock &clock)
    : cellWritesPerSecond_(cellWritesPerSecond), clock_(clock), tokens_(capacity()), refilledAt_(clock.now())
{
}

void WriteBudget::setLiveInstances(int count)
{
    const std::lock_guard lock(mutex_);
    refillTokens();
    liveInstances_ = std::max(1, count);
    tokens_ = std::min(tokens_, capacity());
    ++generation_;
    condition_.notify_all();
}

bool WriteBudget::acquire(WritePurpose purpose, TimePoint deadline, Failure &failure)
{
    const std::atomic<bool> isCancelled = false;
    return acquire(purpose, deadline, isCancelled, failure);
}

bool WriteBudget::acquire(WritePurpose purpose, TimePoint deadline, const std::atomic<bool> &isCancelled, Failure &failure)
{
    std::unique_lock lock(mutex_);
    const Waiter waiter { purpose, ++lastTicket_ };
    waiters_.insert(waiter);
    const auto canTakeToken = [&] {
        refillTokens();
        return tokens_ >= 1 && *waiters_.begin() == waiter;
    };
    while (!canTakeToken()) {
        if (isCancelled || clock_.now() >= deadline) {
            removeWaiter(waiter);
            const auto reason = isCancelled ? FailureReason::Cancelled : FailureReason::Throttled;
            failure = { FailureStep::WriteTable, {}, reason, "no token of the write budget before the deadline" };
            return false;
        }
        // Only the first waiter wakes up for the next token; the others wait until another waiter is first.
        const auto wakeTime = *waiters_.begin() == waiter ? std::min(deadline, nextTokenTime()) : deadline;
        const auto generation = generation_;
        clock_.waitUntil(lock, condition_, wakeTime, [&] { return generation_ != generation || isCancelled || canTakeToken(); });
    }
    tokens_ -= 1;
    removeWaiter(waiter);
    return true;
}

void WriteBudget::wakeWaiters()
{
    // The lock makes the notification come after a waiter's check of its flag, so that the waiter cannot miss it.
    const std::lock_guard lock(mutex_);
    condition_.notify_all();
}

void WriteBudget::returnToken()
{
    const std::lock_guard lock(mutex_);
    tokens_ = std::min(tokens_ + 1, capacity());
    condition_.notify_all();
}

double WriteBudget::rate() const
{
    return cellWritesPerSecond_ / liveInstances_;
}

double WriteBudget::capacity() const
{
    return std::max(1.0, rate() * burstSeconds);
}

void WriteBudget::refillTokens()
{
    const auto now = clock_.now();
    const std::chrono::duration<double> elapsed = now - refilledAt_;
    tokens_ = std::min(capacity(), tokens_ + elapsed.count() * rate());
    refilledAt_ = now;
}

TimePoint WriteBudget::nextTokenTime() const
{
    const std::chrono::duration<double> missing((1 - tokens_) / rate());
    // Rounded up, so that the bucket holds the token when the waiter wakes up.
    return clock_.now() + std::chrono::ceil<std::chrono::microseconds>(missing);
}

void WriteBudget::removeWaiter(const Waiter &waiter)
{
    waiters_.erase(waiter);
    ++generation_;
    condition_.notify_all();
}

} // namespace auburndoor
