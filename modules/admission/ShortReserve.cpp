#include "admission/ShortReserve.h"

#include <algorithm>
#include <cmath>

namespace auburndoor {

namespace {

/** Short work has many arrivals and swings within seconds; long work has few, and a shorter average would mostly show noise. */
constexpr std::array<double, 2> averagingSeconds { 2, 10 };
/** Two standard deviations of a Poisson number of tasks. */
constexpr double shortMargin = 2;
constexpr double longMargin = 1.1;
/** Long work keeps a part even when short work asks for everything. */
constexpr double highestPart = 0.9;

} // namespace

ShortReserve::ShortReserve(const Clock &clock) : clock_(clock)
{
    for (auto &demand : demands_) {
        demand.lastUpdate = clock.now();
    }
}

double ShortReserve::demand(std::size_t kind, TimePoint now) const
{
    const auto age = std::chrono::duration<double>(now - demands_.at(kind).lastUpdate).count();
    return demands_.at(kind).slots * std::exp(-age / averagingSeconds.at(kind));
}

void ShortReserve::recordArrival(bool isLong, Milliseconds expectedRunTime)
{
    const std::size_t kind = isLong ? 1 : 0;
    const std::lock_guard lock(mutex_);
    const auto now = clock_.now();
    const auto seconds = std::chrono::duration<double>(expectedRunTime).count();
    demands_.at(kind).slots = demand(kind, now) + seconds / averagingSeconds.at(kind);
    demands_.at(kind).lastUpdate = now;
}

int ShortReserve::percent(long long slots, int declaredPercent) const
{
    if (slots <= 0) {
        return declaredPercent;
    }
    const std::lock_guard lock(mutex_);
    const auto now = clock_.now();
    const auto total = static_cast<double>(slots);
    const auto shortDemand = demand(0, now);
    const auto longDemand = demand(1, now);
    double reserved = shortDemand + shortMargin * std::sqrt(shortDemand);
    if (shortDemand + longDemand < total) {
        reserved = std::min(reserved, total - longMargin * longDemand);
    }
    constexpr double wholePercent = 100;
    const auto percent = wholePercent * std::min(reserved / total, highestPart);
    return std::max(declaredPercent, static_cast<int>(percent));
}

} // namespace auburndoor
