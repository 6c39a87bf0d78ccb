#include "admission/QueueEntry.h"

#include <algorithm>

namespace auburndoor {

TimePoint QueueEntry::latestStart() const
{
    const auto half = (deadline - arrival) / 2;
    return deadline - std::clamp<TimePoint::duration>(expectedRunTime, TimePoint::duration::zero(), half);
}

} // namespace auburndoor
