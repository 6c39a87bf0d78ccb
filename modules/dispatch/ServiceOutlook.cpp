#include "dispatch/ServiceOutlook.h"

#include "dispatch/ScarcityOrder.h"

#include <algorithm>
#include <bit>

namespace auburndoor {

namespace {

std::size_t digitsOf(std::int64_t key)
{
    return static_cast<std::size_t>(std::bit_width(static_cast<std::uint64_t>(std::max<std::int64_t>(key, 0))));
}

} // namespace

ServiceOutlook::ServiceOutlook(WorkAmount capacity) : capacity_(capacity)
{
}

void ServiceOutlook::add(int priority, bool isLate, std::int64_t key, WorkAmount work)
{
    auto &level = levels_[priority];
    level.all += work;
    if (!isLate) {
        level.byKey.at(std::min(digitsOf(key), bucketCount - 1)) += work;
    }
}

Milliseconds ServiceOutlook::earliestEnd(int priority, std::int64_t smallestKey) const
{
    if (capacity_ <= 0) {
        return Milliseconds(0);
    }
    WorkAmount moreUrgent = 0;
    WorkAmount before = 0;
    for (const auto &[other, level] : levels_) {
        if (other < priority) {
            moreUrgent += level.all;
        } else if (other == priority) {
            // Keys with fewer digits are smaller.
            const auto end = std::min(digitsOf(smallestKey), bucketCount);
            for (std::size_t digits = 0; digits < end; ++digits) {
                before += level.byKey.at(digits);
            }
        }
    }
    const auto ownLevel = static_cast<double>(before);
    // What its priority keeps lets it go on beside more urgent work, but with a part of the room only.
    const auto work = std::min(ownLevel + static_cast<double>(moreUrgent), ownLevel / ScarcityOrder::maxKeptShareOfRoom);
    return Milliseconds(static_cast<Milliseconds::rep>(work / static_cast<double>(capacity_)));
}

} // namespace auburndoor
