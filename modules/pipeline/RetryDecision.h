#pragma once

#include "pipeline/Request.h"

namespace auburndoor {

enum class RetryAdvice {
    /** Another attempt cannot help or is not safe. */
    Stop,
    /** Another attempt may help, and counts against the retry budget. */
    RetryUnderBudget,
    /** The instance that was tried cannot take the request; another may. Not counted against the budget: it uses no worker time. */
    RouteAgain,
    /** The request's record can be claimed again. Owners, too, try this themselves; it is not counted against the budget. */
    ClaimAgain,
};

/**
    Decides whether a request may be attempted again after an outcome.

    Only NotRun allows another attempt: after Unknown the task may still run, and a second attempt would run the request in two
    places at once. A pure function.
*/
RetryAdvice adviseRetry(const Outcome &outcome);

} // namespace auburndoor
