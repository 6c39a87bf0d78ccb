#include "dispatch/ScarcityOrder.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace auburndoor {

namespace {

// Callers need at least a third of the work of each kind; part of what is started ends late or is stopped.
constexpr double keptShareOfDemand = 0.5;
// Runs of a priority may be stopped while it has got this multiple of what it keeps.
constexpr double protectedFactor = 1.25;
// A few large tasks that fit nowhere do not make the room of a service scarce.
constexpr double minScarceShare = 0.01;
// More than a large service does in the window; without the bound a few steps with absurd estimates leave the type.
constexpr WorkAmount maxDemandOfStep = 100'000'000'000;
// The order does not change back and forth with each task that ends.
constexpr Milliseconds scarcityMemory { 1000 };
// A key of this size is that of a job of the mean size with all its slack.
constexpr double keyOfMeanJob = 1000;
// Added to the part of the slack that is left, so that the size still counts among jobs without slack.
constexpr double smallestAgeing = 0.1;
// A job of which a part is done goes before one that has not begun, by the root of what is left: what was done is lost if it
// never ends. Small jobs go first, so that few are late, but only by the eighth root of their size, or the largest jobs of a kind
// would be served less than half as often as the others.
constexpr double sizeExponent = 0.125;
// A late result is of much less use to its caller than one in time, but of some: work behind all that can be in time would never
// end while the room stays scarce. One that will miss its final deadline as well is of none.
constexpr double lateFactor = 5;
constexpr double hopelessFactor = 100;
constexpr double weightOfNewJob = 1.0 / 64;

// Room that becomes free in small pieces on many workers is of use later than its sum tells.
constexpr double waitMargin = 2;
// With less slack a stop, which takes up to half a second, would come too late if the ends did not make the room.
constexpr Milliseconds minWaitForEnds { 500 };

WorkAmount sumOf(const auto &buckets)
{
    return std::accumulate(buckets.begin(), buckets.end(), WorkAmount(0));
}

} // namespace

std::size_t ScarcityOrder::advance(TimePoint now)
{
    const auto number = now.time_since_epoch() / (window / bucketCount);
    const auto passed = std::min<std::int64_t>(number - bucketNumber_, bucketCount);
    for (std::int64_t back = 0; back < passed; ++back) {
        const auto bucket = static_cast<std::size_t>(number - back) % bucketCount;
        for (auto &[priority, level] : levels_) {
            level.demanded.at(bucket) = 0;
            level.started.at(bucket) = 0;
        }
        takenRoom_.at(bucket) = 0;
    }
    bucketNumber_ = std::max<std::int64_t>(bucketNumber_, number);
    return static_cast<std::size_t>(bucketNumber_) % bucketCount;
}

void ScarcityOrder::update(TimePoint now, const Reading &reading)
{
    advance(now);
    const bool isScarceNow = !reading.waiting.fitsIn(reading.free)
                             || dominantShare(reading.waitingWithoutRoom, reading.capacity) > minScarceShare;
    scarceUntil_ = isScarceNow ? now + scarcityMemory : scarceUntil_;
    isScarce_ = now < scarceUntil_;
    waitingRoom_ = reading.waitingRoom;
    mostUrgentWaiting_ = reading.mostUrgentWithoutRoom;
    WorkAmount allDemanded = 0;
    WorkAmount allStarted = 0;
    for (auto &[priority, level] : levels_) {
        allDemanded += sumOf(level.demanded);
        level.got = sumOf(level.started);
        allStarted += level.got;
    }
    const auto largestShare = maxKeptShareOfRoom * static_cast<double>(std::max<WorkAmount>(allStarted, 0))
                              / static_cast<double>(std::max<WorkAmount>(allDemanded, 1));
    const auto share = std::min(keptShareOfDemand, largestShare);
    for (auto &[priority, level] : levels_) {
        level.kept = static_cast<WorkAmount>(share * static_cast<double>(sumOf(level.demanded)));
    }
}

void ScarcityOrder::noteDemand(int priority, WorkAmount work, TimePoint now)
{
    const auto bucket = advance(now);
    levels_[priority].demanded.at(bucket) += std::min(work, maxDemandOfStep);
}

void ScarcityOrder::noteJob(const std::string &queue, WorkAmount work)
{
    const auto [mean, isNew] = meanWorkByQueue_.try_emplace(queue, static_cast<double>(work));
    mean->second += (static_cast<double>(work) - mean->second) * weightOfNewJob;
}

void ScarcityOrder::noteStart(int priority, WorkAmount work, WorkAmount room, TimePoint now)
{
    const auto bucket = advance(now);
    takenRoom_.at(bucket) += room;
    auto &level = levels_[priority];
    level.started.at(bucket) += work;
    level.got += work;
}

void ScarcityOrder::noteStop(int priority, WorkAmount work, TimePoint now)
{
    const auto bucket = advance(now);
    auto &level = levels_[priority];
    level.started.at(bucket) -= work;
    level.got -= work;
}

bool ScarcityOrder::willHaveRoom(int priority, WorkAmount room, Milliseconds slackLeft) const
{
    const auto taken = sumOf(takenRoom_);
    auto ahead = room;
    for (const auto &[other, waiting] : waitingRoom_) {
        ahead += other <= priority ? waiting : 0;
    }
    if (taken <= 0 || slackLeft <= minWaitForEnds) {
        return false;
    }
    const auto wait = static_cast<double>(ahead) / static_cast<double>(taken) * static_cast<double>(window.count());
    return wait * waitMargin < static_cast<double>((slackLeft - minWaitForEnds).count());
}

bool ScarcityOrder::isOwed(int priority) const
{
    const auto level = levels_.find(priority);
    return isScarce_ && level != levels_.end() && level->second.got < level->second.kept;
}

bool ScarcityOrder::isProtected(int priority) const
{
    const auto level = levels_.find(priority);
    return isScarce_ && level != levels_.end()
           && static_cast<double>(level->second.got) < protectedFactor * static_cast<double>(level->second.kept);
}

std::int64_t ScarcityOrder::keyOf(const std::string &queue, const Waiting &waiting) const
{
    if (!isScarce_) {
        return 0;
    }
    const auto mean = meanWorkByQueue_.find(queue);
    const bool isKnown = waiting.remainingWork > 0 && mean != meanWorkByQueue_.end() && mean->second > 0;
    const auto size = isKnown ? static_cast<double>(waiting.remainingWork) / mean->second : 1.0;
    const auto undone = waiting.totalWork > 0 ? static_cast<double>(waiting.remainingWork) / static_cast<double>(waiting.totalWork)
                                              : 1.0;
    const auto first = std::max(waiting.slackAtFirst, Milliseconds(1));
    const auto left = std::clamp(static_cast<double>(waiting.slackLeft.count()) / static_cast<double>(first.count()), 0.0, 1.0);
    const auto lateness = !waiting.isLate ? 1.0 : waiting.slackLeft < Milliseconds(0) ? hopelessFactor : lateFactor;
    return static_cast<std::int64_t>(keyOfMeanJob * lateness * std::pow(size, sizeExponent) * std::sqrt(undone)
                                     * (smallestAgeing + left));
}

} // namespace auburndoor
