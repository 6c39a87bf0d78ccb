#include "dispatch/ServiceOutlook.h"

#include "dispatch/ScarcityOrder.h"

#include <algorithm>
#include <bit>

namespace auburndoor {

namespace {

int digitsOf(std::int64_t number)
{
    return static_cast<int>(std::bit_width(static_cast<std::uint64_t>(std::max<std::int64_t>(number, 0))));
}

} // namespace

ServiceOutlook::ServiceOutlook(WorkAmount capacity) : capacity_(capacity)
{
}

void ServiceOutlook::add(const Waiting &waiting)
{
    auto &level = levels_[waiting.priority];
    level.all += waiting.work;
    if (waiting.slackLeft >= Milliseconds(0)) {
        level.inTime[{ digitsOf(waiting.key), digitsOf(waiting.slackLeft.count()) }] += waiting.work;
    }
}

Milliseconds ServiceOutlook::earliestEnd(int priority, std::int64_t smallestKey, Milliseconds allowed) const
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
            // A number with fewer digits is smaller. Work with less slack than the job has time becomes late before the job does,
            // and then goes behind it.
            for (const auto &[digits, work] : level.inTime) {
                const bool isBefore = digits.first < digitsOf(smallestKey) && digits.second > digitsOf(allowed.count());
                before += isBefore ? work : 0;
            }
        }
    }
    const auto ownLevel = static_cast<double>(before);
    // What its priority keeps lets it go on beside more urgent work, but with a part of the room only.
    const auto work = std::min(ownLevel + static_cast<double>(moreUrgent), ownLevel / ScarcityOrder::maxKeptShareOfRoom);
    return Milliseconds(static_cast<Milliseconds::rep>(work / static_cast<double>(capacity_)));
}

} // namespace auburndoor
