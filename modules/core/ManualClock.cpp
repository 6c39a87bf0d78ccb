#include "core/ManualClock.h"

namespace auburndoor {

ManualClock::ManualClock() : now_(std::chrono::hours(1)), wallNow_(std::chrono::hours(24 * 365 * 50))
{
}

TimePoint ManualClock::now() const
{
    const std::lock_guard lock(mutex_);
    return now_;
}

WallTime ManualClock::wallNow() const
{
    const std::lock_guard lock(mutex_);
    return wallNow_;
}

bool ManualClock::waitUntil(std::unique_lock<std::mutex> &lock,
                            std::condition_variable &condition,
                            TimePoint deadline,
                            const std::function<bool()> &predicate)
{
    {
        const std::lock_guard guard(mutex_);
        waiters_.insert(&condition);
    }
    // Polls in real time, because a notification between the check of the manual time and the wait would be missed.
    constexpr Milliseconds pollPeriod { 2 };
    while (!predicate() && now() < deadline) {
        condition.wait_for(lock, pollPeriod);
    }
    {
        const std::lock_guard guard(mutex_);
        waiters_.erase(waiters_.find(&condition));
    }
    return predicate();
}

void ManualClock::advance(Milliseconds step)
{
    const std::lock_guard lock(mutex_);
    now_ += step;
    wallNow_ += step;
    for (auto *condition : waiters_) {
        condition->notify_all();
    }
}

std::size_t ManualClock::waiterCount() const
{
    const std::lock_guard lock(mutex_);
    return waiters_.size();
}

} // namespace auburndoor
