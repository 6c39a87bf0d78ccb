#pragma once

#include "pipeline/Request.h"

namespace auburndoor {

enum class RetryAdvice {
    /** Another attempt cannot help or is not safe. */
    Stop,
    /** Another attempt may help; it counts against the retry budget. */
    RetryUnderBudget,
    /** The request was sent where there is no room; looking elsewhere is part of routing and costs no worker time. */
    RouteAgain,
    /** The record of the request is free to be claimed; also an owner tries that again itself. */
    ClaimAgain,
};

/**
    Says whether a request may be attempted again after an outcome.

    Only a definite not-run is repeated. An attempt of unknown outcome may still run, and a second one beside it would run the
   request in two places at once. A pure function.
*/
RetryAdvice adviseRetry(const Outcome &outcome);

} // namespace auburndoor
