#include "pipeline/RetryDecision.h"

namespace auburndoor {

namespace {

RetryAdvice adviseAfterNotRun(const Failure &failure)
{
    switch (failure.reason) {
    case FailureReason::NoCapacity:
    case FailureReason::QuotaExceeded:
    case FailureReason::NotOwner:
    case FailureReason::ShuttingDown:
    case FailureReason::NotReady:
        return failure.step == FailureStep::Queue || failure.step == FailureStep::Admit ? RetryAdvice::Stop
                                                                                        : RetryAdvice::RouteAgain;
    case FailureReason::StaleEpoch:
    case FailureReason::WorkerLeaving:
    case FailureReason::ConnectionFailed:
    case FailureReason::ConnectionLost:
    case FailureReason::TimedOut:
    case FailureReason::Throttled:
        return failure.step == FailureStep::Record ? RetryAdvice::Stop : RetryAdvice::RetryUnderBudget;
    default:
        return RetryAdvice::Stop;
    }
}

} // namespace

RetryAdvice adviseRetry(const Outcome &outcome)
{
    if (outcome.status == OutcomeStatus::NotRun && outcome.failure.reason == FailureReason::Conflict) {
        return outcome.failure.step == FailureStep::Record ? RetryAdvice::ClaimAgain : RetryAdvice::Stop;
    }
    if (outcome.status == OutcomeStatus::NotRun) {
        return adviseAfterNotRun(outcome.failure);
    }
    return RetryAdvice::Stop;
}

} // namespace auburndoor
