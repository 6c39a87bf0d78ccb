#pragma once

#include "core/Clock.h"

#include <cstddef>

namespace auburndoor {

/** Input of an admission decision. */
struct AdmissionQuery
{
    /** Time left until the caller's deadline. */
    Milliseconds remaining { 0 };
    /** Expected run time of this request; zero if not known. */
    Milliseconds expectedRunTime { 0 };
    /** Requests in the queue that are expected to start before this one, as QueueOrder::countAhead() estimates. */
    std::size_t queuedAhead = 0;
    /** Places for requests with this need in the pool, free or used, over all instances of the cell. */
    long long totalPlaces = 0;
    /** Free places among them. */
    long long freePlaces = 0;
    /** Mean run time of the work of the pool. */
    Milliseconds meanRunTime { 0 };
};

/** Result of an admission decision. */
struct AdmissionDecision
{
    bool isAdmitted = true;
    /** Time after which the caller may try again; zero if the request is admitted. */
    Milliseconds retryAfter { 0 };
    /** Expected time in the queue. */
    Milliseconds estimatedWait { 0 };
};

/**
    Refuses requests that cannot be answered before their deadline, so that their callers do not wait and no capacity is wasted.

    The functions have no state or side effects. The caller reports a refusal as FailureReason::DeadlineTooShort at
    FailureStep::Admit.
*/
class AdmissionPolicy
{
public:
    /** Share of used places below which all requests are admitted: the estimated wait is not reliable enough to refuse any. */
    static constexpr int alwaysAdmitBelowPercent = 80;

    /** Estimates the time until the requests ahead have started and a place is free. Zero if the pool has no places. */
    static Milliseconds estimatedWait(const AdmissionQuery &query);

    /** Refuses the request if the estimated wait and the expected run time together exceed the remaining time. */
    static AdmissionDecision decide(const AdmissionQuery &query);
};

} // namespace auburndoor
