#include "admission/ShortReserve.h"

#include <algorithm>
#include <cmath>

namespace auburndoor {

namespace {

/**
    Averaging times of short and long work.

    Short work has many arrivals, and its demand changes within seconds. Long work has few; a shorter average would be mostly noise.
*/
constexpr std::array<double, 2> averagingSeconds { 2, 10 };
/** Margin in standard deviations of the number of short tasks, assumed to be Poisson distributed. */
constexpr double shortMarginDeviations = 2;
/** Long work keeps this multiple of its demand if the pool has enough slots for both. */
constexpr double longMarginFactor = 1.1;
/** Limits the adapted share, so that long work keeps some slots at any demand of short work. */
constexpr double maximumReservedShare = 0.9;

} // namespace

ShortReserve::ShortReserve(const Clock &clock) : clock_(clock)
{
    for (auto &demand : demands_) {
        demand.lastUpdate = clock.now();
    }
}

double ShortReserve::demand(std::size_t lengthIndex, TimePoint now) const
{
    const auto age = std::chrono::duration<double>(now - demands_.at(lengthIndex).lastUpdate).count();
    return demands_.at(lengthIndex).slots * std::exp(-age / averagingSeconds.at(lengthIndex));
}

void ShortReserve::recordArrival(bool isLong, Milliseconds expectedRunTime)
{
    const std::size_t lengthIndex = isLong ? 1 : 0;
    const std::lock_guard lock(mutex_);
    const auto now = clock_.now();
    const auto seconds = std::chrono::duration<double>(expectedRunTime).count();
    demands_.at(lengthIndex).slots = demand(lengthIndex, now) + seconds / averagingSeconds.at(lengthIndex);
    demands_.at(lengthIndex).lastUpdate = now;
}

int ShortReserve::percent(long long slots, int declaredPercent) const
{
    if (slots <= 0) {
        return declaredPercent;
    }
    const std::lock_guard lock(mutex_);
    const auto now = clock_.now();
    const auto totalSlots = static_cast<double>(slots);
    const auto shortDemand = demand(0, now);
    const auto longDemand = demand(1, now);
    double reservedSlots = shortDemand + shortMarginDeviations * std::sqrt(shortDemand);
    if (shortDemand + longDemand < totalSlots) {
        reservedSlots = std::min(reservedSlots, totalSlots - longMarginFactor * longDemand);
    }
    constexpr double wholePercent = 100;
    const auto percent = wholePercent * std::min(reservedSlots / totalSlots, maximumReservedShare);
    return std::max(declaredPercent, static_cast<int>(percent));
}

} // namespace auburndoor
