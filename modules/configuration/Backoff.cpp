#include "configuration/Backoff.h"

#include "core/RandomId.h"

#include <algorithm>

namespace auburndoor {

namespace {

constexpr Milliseconds firstWait { 50 };
constexpr Milliseconds longestWait { 1000 };

} // namespace

Backoff::Backoff(Clock &clock) : clock_(clock), next_(firstWait)
{
}

bool Backoff::wait(TimePoint deadline)
{
    const auto jittered = next_ / 2 + Milliseconds(randomBelow(next_.count() / 2 + 1));
    next_ = std::min(next_ * 2, longestWait);
    std::mutex mutex;
    std::condition_variable condition;
    std::unique_lock lock(mutex);
    clock_.waitUntil(lock, condition, std::min(deadline, clock_.now() + jittered), [] { return false; });
    return clock_.now() < deadline;
}

} // namespace auburndoor
