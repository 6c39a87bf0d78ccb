#pragma once

#include "core/Clock.h"

namespace auburndoor {

/** A clock that uses std::chrono::steady_clock and std::chrono::system_clock. */
class SystemClock : public Clock
{
public:
    TimePoint now() const override;
    WallTime wallNow() const override;
    bool waitUntil(std::unique_lock<std::mutex> &lock,
                   std::condition_variable &condition,
                   TimePoint deadline,
                   const std::function<bool()> &predicate) override;
};

} // namespace auburndoor
