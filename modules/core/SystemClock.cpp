#include "core/SystemClock.h"

namespace auburndoor {

TimePoint SystemClock::now() const
{
    return std::chrono::steady_clock::now();
}

WallTime SystemClock::wallNow() const
{
    return std::chrono::system_clock::now();
}

bool SystemClock::waitUntil(std::unique_lock<std::mutex> &lock,
                            std::condition_variable &condition,
                            TimePoint deadline,
                            const std::function<bool()> &predicate)
{
    return condition.wait_until(lock, deadline, predicate);
}

} // namespace auburndoor
