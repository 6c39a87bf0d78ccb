#include "admission/AdmissionPolicy.h"

#include <algorithm>

namespace auburndoor {

namespace {

constexpr Milliseconds shortestRetryAfter { 100 };
constexpr Milliseconds longestRetryAfter { 30'000 };

} // namespace

Milliseconds AdmissionPolicy::estimatedWait(const AdmissionQuery &query)
{
    const auto ahead = static_cast<long long>(query.queuedAhead) + 1 - query.freePlaces;
    if (ahead <= 0 || query.totalPlaces <= 0) {
        return Milliseconds(0);
    }
    // Each place becomes free once in a mean run time.
    return query.meanRunTime * ahead / query.totalPlaces;
}

AdmissionDecision AdmissionPolicy::decide(const AdmissionQuery &query)
{
    AdmissionDecision decision;
    decision.estimatedWait = estimatedWait(query);
    constexpr long long wholePercent = 100;
    const auto usedPlaces = query.totalPlaces - query.freePlaces;
    if (usedPlaces * wholePercent < query.totalPlaces * alwaysAdmitBelowPercent) {
        return decision;
    }
    // As in QueueEntry::latestStart(): an estimate that is far too long takes at most half of the caller's time.
    const auto runTime = std::clamp(query.expectedRunTime, Milliseconds(0), std::max(query.remaining / 2, Milliseconds(0)));
    const auto lateBy = decision.estimatedWait + runTime - query.remaining;
    if (lateBy > Milliseconds(0)) {
        decision.isAdmitted = false;
        decision.retryAfter = std::clamp(lateBy, shortestRetryAfter, longestRetryAfter);
    }
    return decision;
}

} // namespace auburndoor
