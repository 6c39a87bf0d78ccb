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
    Runs requests through filters: first those that prepare a request, once; then those of an attempt, again after a definite
   not-run that another attempt may mend.

    Any thread; run() blocks its caller until the outcome is known.
*/
class Pipeline
{
public:
    Pipeline(Clock &clock, Metrics &metrics, RetryBudget &budget, RequestTraces &traces);

    void addPreparation(std::unique_ptr<Filter> filter);
    void addAttempt(std::unique_ptr<Filter> filter);

    /** From the caller to the outcome. */
    Outcome run(RequestContext &context) const;

    /** From a peer's request, which has been prepared there, to the outcome. */
    Outcome runAttempts(RequestContext &context) const;

private:
    Outcome attempt(RequestContext &context) const;
    bool mayRetry(const RequestContext &context, const Outcome &outcome) const;
    void report(const RequestContext &context, const Outcome &outcome) const;

    Clock &clock_;
    Metrics &metrics_;
    RetryBudget &budget_;
    RequestTraces &traces_;
    std::vector<std::unique_ptr<Filter>> preparations_;
    std::vector<std::unique_ptr<Filter>> attempts_;
};

} // namespace auburndoor
