#pragma once

#include "core/Clock.h"

#include <cstddef>

namespace auburndoor {

/** What an admission decision is based on. */
struct AdmissionQuery
{
    /** Time until the caller's deadline. */
    Milliseconds remaining { 0 };
    /** Expected run time of this request; zero if not known. */
    Milliseconds expectedRunTime { 0 };
    /** Requests in the queue that are expected to start before this one, as QueueOrder::countAhead() estimates. */
    std::size_t queuedAhead = 0;
    /** Places of the pool for the request's need, free or taken, over the cell. */
    long long totalPlaces = 0;
    /** Free places among them. */
    long long freePlaces = 0;
    /** Mean run time of the work of the pool. */
    Milliseconds meanRunTime { 0 };
};

/** Whether a request is let in. */
struct AdmissionDecision
{
    bool isAdmitted = true;
    /** When the caller may try again; zero if it is let in. */
    Milliseconds retryAfter { 0 };
    Milliseconds estimatedWait { 0 };
};

/**
    Refuses requests that cannot be answered before their deadline, so that they cost their callers no time and the pool no work.

    A pure decision. A refusal is reported as FailureReason::DeadlineTooShort at FailureStep::Admit.
*/
class AdmissionPolicy
{
public:
    /** Below this load nothing is refused, since the estimate of the waiting time is not reliable enough to turn work away. */
    static constexpr int alwaysAdmitBelowPercent = 80;

    /** The time until a place is free for a request behind the given queue. */
    static Milliseconds estimatedWait(const AdmissionQuery &query);

    static AdmissionDecision decide(const AdmissionQuery &query);
};

} // namespace auburndoor
