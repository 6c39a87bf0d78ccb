#include "pipeline/Pipeline.h"

#include "admission/RetryBudget.h"
#include "observability/Log.h"
#include "observability/Metrics.h"
#include "pipeline/RequestContext.h"
#include "pipeline/RequestTraces.h"
#include "pipeline/RetryDecision.h"

namespace auburndoor {

Pipeline::Pipeline(Clock &clock, Metrics &metrics, RetryBudget &retryBudget, RequestTraces &traces)
    : clock_(clock), metrics_(metrics), retryBudget_(retryBudget), traces_(traces)
{
}

void Pipeline::addPreparation(std::unique_ptr<Filter> filter)
{
    preparationFilters_.push_back(std::move(filter));
}

void Pipeline::addAttempt(std::unique_ptr<Filter> filter)
{
    attemptFilters_.push_back(std::move(filter));
}

Outcome Pipeline::run(RequestContext &context) const
{
    for (const auto &filter : preparationFilters_) {
        if (auto outcome = filter->apply(context)) {
            reportOutcome(context, *outcome);
            return *outcome;
        }
    }
    return runAttempts(context);
}

Outcome Pipeline::runAttempts(RequestContext &context) const
{
    retryBudget_.recordRequest();
    while (true) {
        auto outcome = attempt(context);
        if (!mayRetry(context, outcome)) {
            reportOutcome(context, outcome);
            return outcome;
        }
        metrics_.countRetry(outcome.failure);
    }
}

Outcome Pipeline::attempt(RequestContext &context) const
{
    ++context.attempt;
    context.reservation.reset();
    context.forwardTo = {};
    for (const auto &filter : attemptFilters_) {
        if (auto outcome = filter->apply(context)) {
            return *outcome;
        }
    }
    return { OutcomeStatus::NotRun,
             {},
             { FailureStep::Start, {}, FailureReason::NotReady, "no filter of the attempt returned an outcome" },
             {},
             {},
             {} };
}

bool Pipeline::mayRetry(const RequestContext &context, const Outcome &outcome) const
{
    const auto advice = adviseRetry(outcome);
    const auto isForwarded = context.request.hopCount > 0;
    if (advice == RetryAdvice::Stop || clock_.now() >= context.request.deadline) {
        return false;
    }
    if (advice == RetryAdvice::ClaimAgain) {
        return true;
    }
    if (advice == RetryAdvice::RouteAgain) {
        // Only the entry instance tries another owner; an owner without capacity reports this to it at once.
        return !isForwarded;
    }
    if (!retryBudget_.takeRetry()) {
        metrics_.count("retry_budget_spent_total");
        return false;
    }
    return true;
}

void Pipeline::reportOutcome(const RequestContext &context, const Outcome &outcome) const
{
    const auto &request = context.request;
    metrics_.count("outcomes_total", "outcome=" + std::string(name(outcome.status)));
    traces_.add({ request.id, request.team, request.service, request.kind, context.attempt, outcome });
    if (outcome.status == OutcomeStatus::NotRun || outcome.status == OutcomeStatus::Unknown) {
        metrics_.countRefusal(outcome.failure);
        Log::failure("request-ended",
                     outcome.failure,
                     { { "request", request.id.text() },
                       { "team", request.team.text() },
                       { "outcome", std::string(name(outcome.status)) } });
        return;
    }
    metrics_.observe("request_duration", clock_.now() - request.arrival, "service=" + request.service.text());
    Log::debug("request-ended",
               { { "request", request.id.text() },
                 { "team", request.team.text() },
                 { "outcome", std::string(name(outcome.status)) },
                 { "worker", outcome.worker.text() },
                 { "waitedMs", std::to_string(outcome.waited.count()) } });
}

} // namespace auburndoor
