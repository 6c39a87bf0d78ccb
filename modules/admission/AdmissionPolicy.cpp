#include "admission/AdmissionPolicy.h"

#include <algorithm>

namespace auburndoor {

namespace {

constexpr Milliseconds minimumRetryAfter { 100 };
constexpr Milliseconds maximumRetryAfter { 30'000 };

} // namespace

Milliseconds AdmissionPolicy::estimatedWait(const AdmissionQuery &query)
{
    const auto ahead = static_cast<long long>(query.queuedAhead) + 1 - query.freePlaces;
    if (ahead <= 0 || query.totalPlaces <= 0) {
        return Milliseconds(0);
    }
    // On average each place becomes free once per mean run time.
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
    // As in QueueEntry::latestStart(), at most half of the remaining time counts: the estimate may be far too long.
    const auto runTime = std::clamp(query.expectedRunTime, Milliseconds(0), std::max(query.remaining / 2, Milliseconds(0)));
    const auto lateBy = decision.estimatedWait + runTime - query.remaining;
    if (lateBy > Milliseconds(0)) {
        decision.isAdmitted = false;
        decision.retryAfter = std::clamp(lateBy, minimumRetryAfter, maximumRetryAfter);
    }
    return decision;
}

} // namespace auburndoor
