#include "dispatch/StoreClock.h"

#include <algorithm>

namespace auburndoor {

namespace {

Milliseconds scaleForSlowClock(Milliseconds duration)
{
    return duration * 50 / 49 + Milliseconds(1);
}

} // namespace

void StoreClock::noteReading(Milliseconds time, CallTime requestedAt, TimePoint receivedAt)
{
    reading_ = Reading { time, requestedAt.boot, receivedAt };
}

std::optional<Milliseconds> StoreClock::latestTimeAfter(Milliseconds duration, TimePoint bootNow) const
{
    if (!reading_) {
        return std::nullopt;
    }
    const auto elapsed = std::chrono::ceil<Milliseconds>(bootNow - reading_->requestedAt);
    return reading_->time + scaleForSlowClock(elapsed + std::max(Milliseconds(0), duration));
}

std::optional<TimePoint> StoreClock::reachedBy(Milliseconds time) const
{
    if (!reading_) {
        return std::nullopt;
    }
    return reading_->receivedAt + scaleForSlowClock(std::max(Milliseconds(0), time - reading_->time));
}

} // namespace auburndoor
