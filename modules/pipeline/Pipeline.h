#pragma once

#include "core/Clock.h"
#include "pipeline/Filter.h"

#include <memory>
#include <vector>

namespace auburndoor {

class Metrics;
class RequestTraces;
class RetryBudget;

/**
    Runs requests through filters: the preparation filters once, then the attempt filters, which are repeated while adviseRetry(),
   the deadline and the retry budget allow it.

    All filters are added before the first request. Any thread; run() and runAttempts() block until the outcome is known.
*/
class Pipeline
{
public:
    Pipeline(Clock &clock, Metrics &metrics, RetryBudget &retryBudget, RequestTraces &traces);

    /** Adds a filter that each caller's request passes once, in the order of the calls. */
    void addPreparation(std::unique_ptr<Filter> filter);
    /** Adds a filter that each attempt passes, in the order of the calls. */
    void addAttempt(std::unique_ptr<Filter> filter);

    /** Handles a call that this instance received from a caller. */
    Outcome run(RequestContext &context) const;

    /** Handles a request that a peer has prepared and forwarded. */
    Outcome runAttempts(RequestContext &context) const;

private:
    Outcome attempt(RequestContext &context) const;
    bool mayRetry(const RequestContext &context, const Outcome &outcome) const;
    /** Counts, traces and logs the outcome of a request. */
    void reportOutcome(const RequestContext &context, const Outcome &outcome) const;

    Clock &clock_;
    Metrics &metrics_;
    RetryBudget &retryBudget_;
    RequestTraces &traces_;
    std::vector<std::unique_ptr<Filter>> preparationFilters_;
    std::vector<std::unique_ptr<Filter>> attemptFilters_;
};

} // namespace auburndoor
