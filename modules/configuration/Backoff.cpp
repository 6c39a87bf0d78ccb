#include "configuration/Backoff.h"

#include "core/RandomId.h"

#include <algorithm>

namespace auburndoor {

namespace {

constexpr Milliseconds firstWait { 50 };
constexpr Milliseconds longestWait { 1000 };

} // namespace

Backoff::Backoff(Clock &clock) : clock_(clock), nextWait_(firstWait)
{
}

bool Backoff::wait(TimePoint deadline)
{
    const auto jitteredWait = nextWait_ / 2 + Milliseconds(randomBelow(nextWait_.count() / 2 + 1));
    nextWait_ = std::min(nextWait_ * 2, longestWait);
    std::mutex mutex;
    std::condition_variable condition;
    std::unique_lock lock(mutex);
    clock_.waitUntil(lock, condition, std::min(deadline, clock_.now() + jitteredWait), [] { return false; });
    return clock_.now() < deadline;
}

} // namespace auburndoor
