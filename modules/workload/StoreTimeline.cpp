#include "workload/StoreTimeline.h"

#include <algorithm>

namespace auburndoor {

namespace {

constexpr Milliseconds minInterval { 50 };
// Longer than the directory lists a worker that has fallen silent.
constexpr Milliseconds retention { 10000 };

} // namespace

void StoreTimeline::note(std::int64_t version, Milliseconds time)
{
    if (!readings_.empty() && time < readings_.back().time + minInterval) {
        return;
    }
    readings_.push_back({ version, time });
    while (readings_.front().time + retention < time) {
        readings_.pop_front();
    }
}

std::optional<Milliseconds> StoreTimeline::timeBefore(std::int64_t version) const
{
    const auto found = std::find_if(
        readings_.rbegin(), readings_.rend(), [version](const Reading &reading) { return reading.version < version; });
    return found == readings_.rend() ? std::nullopt : std::optional(found->time);
}

} // namespace auburndoor
