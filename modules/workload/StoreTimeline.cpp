#include "workload/StoreTimeline.h"

#include "observability/EventLog.h"

#include <algorithm>

namespace auburndoor {

namespace {

constexpr Milliseconds minInterval { 50 };
// Longer than the directory lists a worker that has fallen silent.
constexpr Milliseconds retention { 10000 };
// The store's clock is told in whole milliseconds.
constexpr Milliseconds rounding { 2 };

/** True if no steady clock with rising versions gives both readings. @param first the one that arrived first */
bool contradict(const StoreReading &first, const StoreReading &second)
{
    const auto elapsed = second.time - first.time;
    if (elapsed != Milliseconds(0) && first.version != second.version
        && (elapsed > Milliseconds(0)) != (second.version > first.version)) {
        return true;
    }
    const auto longest = std::chrono::ceil<Milliseconds>(second.receivedAt - first.requestedAt);
    const auto shortest = std::chrono::floor<Milliseconds>(second.requestedAt - first.receivedAt);
    // Either clock may run 2% slow.
    const auto tolerance = rounding + std::max(longest, Milliseconds(0)) / 49;
    return elapsed > longest + tolerance || elapsed < shortest - tolerance;
}

} // namespace

void StoreTimeline::note(const StoreReading &reading)
{
    const auto contradicts = [&reading](const StoreReading &earlier) { return contradict(earlier, reading); };
    if (const auto found = std::find_if(readings_.rbegin(), readings_.rend(), contradicts); found != readings_.rend()) {
        EventLog::write(
            "store.clock_restarted",
            { { "version", reading.version },
              { "time", reading.time.count() },
              { "earlier_version", found->version },
              { "earlier_time", found->time.count() },
              { "elapsed_ms", std::chrono::duration_cast<Milliseconds>(reading.receivedAt - found->receivedAt).count() } });
        readings_.clear();
        ++restartCount_;
        restartVersion_ = reading.version;
    }
    if (!readings_.empty() && reading.time < readings_.back().time + minInterval) {
        return;
    }
    readings_.push_back(reading);
    while (readings_.front().time + retention < reading.time) {
        readings_.pop_front();
    }
}

std::optional<Milliseconds> StoreTimeline::timeBefore(std::int64_t version) const
{
    const auto found = std::find_if(
        readings_.rbegin(), readings_.rend(), [version](const StoreReading &reading) { return reading.version < version; });
    return found == readings_.rend() ? std::nullopt : std::optional(found->time);
}

bool StoreTimeline::isComparable(std::int64_t version) const
{
    return restartCount_ == 0 || version > restartVersion_;
}

int StoreTimeline::restartCount() const
{
    return restartCount_;
}

} // namespace auburndoor
