#include "pipeline/Pipeline.h"

#include "admission/RetryBudget.h"
#include "observability/Log.h"
#include "observability/Metrics.h"
#include "pipeline/RequestContext.h"
#include "pipeline/RequestTraces.h"
#include "pipeline/RetryDecision.h"

namespace auburndoor {

Pipeline::Pipeline(Clock &clock, Metrics &metrics, RetryBudget &budget, RequestTraces &traces)
    : clock_(clock), metrics_(metrics), budget_(budget), traces_(traces)
{
}

void Pipeline::addPreparation(std::unique_ptr<Filter> filter)
{
    preparations_.push_back(std::move(filter));
}

void Pipeline::addAttempt(std::unique_ptr<Filter> filter)
{
    attempts_.push_back(std::move(filter));
}

Outcome Pipeline::run(RequestContext &context) const
{
    for (const auto &filter : preparations_) {
        if (auto outcome = filter->apply(context)) {
            report(context, *outcome);
            return *outcome;
        }
    }
    return runAttempts(context);
}

Outcome Pipeline::runAttempts(RequestContext &context) const
{
    budget_.recordRequest();
    while (true) {
        auto outcome = attempt(context);
        if (!mayRetry(context, outcome)) {
            report(context, outcome);
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
    for (const auto &filter : attempts_) {
        if (auto outcome = filter->apply(context)) {
            return *outcome;
        }
    }
    return {
        OutcomeStatus::NotRun, {}, { FailureStep::Start, {}, FailureReason::NotReady, "no filter gave an outcome" }, {}, {}, {}
    };
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
        // The entry instance looks elsewhere; an owner that has no room says so at once.
        return !isForwarded;
    }
    if (!budget_.takeRetry()) {
        metrics_.count("retry_budget_spent_total");
        return false;
    }
    return true;
}

void Pipeline::report(const RequestContext &context, const Outcome &outcome) const
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
