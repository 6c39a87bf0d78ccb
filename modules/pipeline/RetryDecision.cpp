#include "pipeline/RetryDecision.h"

namespace auburndoor {

namespace {

RetryAdvice adviseAfterNotRun(const Failure &failure)
{
    switch (failure.reason) {
    case Reason::NoCapacity:
    case Reason::QuotaExceeded:
    case Reason::NotOwner:
    case Reason::ShuttingDown:
    case Reason::NotReady:
        return failure.step == Step::Queue || failure.step == Step::Admit ? RetryAdvice::Stop : RetryAdvice::RouteAgain;
    case Reason::StaleEpoch:
    case Reason::WorkerLeaving:
    case Reason::ConnectionFailed:
    case Reason::ConnectionLost:
    case Reason::TimedOut:
    case Reason::Throttled:
        return failure.step == Step::Record ? RetryAdvice::Stop : RetryAdvice::RetryUnderBudget;
    default:
        return RetryAdvice::Stop;
    }
}

} // namespace

RetryAdvice adviseRetry(const Outcome &outcome)
{
    if (outcome.status == OutcomeStatus::NotRun && outcome.failure.reason == Reason::Conflict) {
        return outcome.failure.step == Step::Record ? RetryAdvice::ClaimAgain : RetryAdvice::Stop;
    }
    if (outcome.status == OutcomeStatus::NotRun) {
        return adviseAfterNotRun(outcome.failure);
    }
    return RetryAdvice::Stop;
}

} // namespace auburndoor
