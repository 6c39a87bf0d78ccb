#include "entry/AdmissionControl.h"

#include <algorithm>

namespace auburndoor {

namespace {

// A loop that is late by less still answers and places well within the objectives of the most urgent jobs.
constexpr Milliseconds maxLoopDelay { 60 };
// If only workers are missing, placement gets to the last step within a few rounds.
constexpr Milliseconds maxPlacementDelay { 400 };
// The owner has to be behind for this long, so that one long callback leads to no refusal, and not behind for up to maxBehindTime
// until it counts as recovered, so that clients that return together are not all admitted.
constexpr Milliseconds behindTimeOfOverload { 150 };
constexpr Milliseconds maxBehindTime { 1000 };
// One sample counts for so long at most: while the loop stands still it takes no samples, and the delay may have ended since.
constexpr Milliseconds maxSampleWeight { 100 };
// A burst that drains within its queue's allowance leads to no refusal. Placement serves what can be in time first, so that a
// shorter queue than the lower bound gains little; the upper bound is for the jobs that were accepted before.
constexpr Milliseconds minWaitLimit { 800 };
constexpr Milliseconds maxWaitLimit { 1200 };
// Each of the few round trips from a submission to a start waits for the loop.
constexpr int loopDelaysBeforeStart = 2;
constexpr Milliseconds minRetryDelay { 700 };
// A client has few retries, and after a multiple of what its queue allows the job is of little use to it.
constexpr Milliseconds maxRetryDelay { 5000 };
constexpr int allowancesUntilRetry = 2;
constexpr double minSpread = 0.8;
constexpr double maxSpread = 1.2;

} // namespace

AdmissionControl::AdmissionControl(std::uint_fast32_t seed) : random_(seed)
{
}

void AdmissionControl::addSample(TimePoint now, const Load &load)
{
    const auto elapsed = std::min(std::chrono::duration_cast<Milliseconds>(now - lastSampleAt_), maxSampleWeight);
    lastSampleAt_ = now;
    loopDelay_ = load.loopDelay;
    const bool isBehind = load.loopDelay > maxLoopDelay || load.placementDelay > maxPlacementDelay;
    behindTime_ = std::clamp(behindTime_ + (isBehind ? elapsed : -elapsed), Milliseconds(0), maxBehindTime);
    if (behindTime_ >= behindTimeOfOverload) {
        isOverloaded_ = true;
    } else if (behindTime_ == Milliseconds(0)) {
        isOverloaded_ = false;
    }
}

bool AdmissionControl::isOverloaded() const
{
    return isOverloaded_;
}

std::optional<Milliseconds> AdmissionControl::refuse(const QueueSpec &queue, const Backlog &backlog)
{
    const auto wait = backlog.expectedWait + loopDelay_ * loopDelaysBeforeStart;
    if (!isOverloaded_ || wait <= std::clamp(queue.latencyAllowance, minWaitLimit, maxWaitLimit)) {
        return std::nullopt;
    }
    return reserveReturn(queue, wait, backlog.beginInterval);
}

Milliseconds AdmissionControl::reserveReturn(const QueueSpec &queue, Milliseconds wait, std::chrono::microseconds beginInterval)
{
    // Clients return one after another, as fast as the owner can begin their jobs: together they would be refused again.
    const auto longest = maxRetryDelay + queue.latencyAllowance * allowancesUntilRetry;
    lastReturnAt_ = std::min(std::max(lastReturnAt_, lastSampleAt_ + std::min(wait, longest)) + beginInterval,
                             lastSampleAt_ + longest);
    const auto delay = std::max(std::chrono::duration_cast<Milliseconds>(lastReturnAt_ - lastSampleAt_), minRetryDelay);
    const double spread = std::uniform_real_distribution<double>(minSpread, maxSpread)(random_);
    return Milliseconds(static_cast<Milliseconds::rep>(static_cast<double>(delay.count()) * spread));
}

} // namespace auburndoor
