#include "core/ManualClock.h"
#include "pipeline/RequestContext.h"
#include "pipeline/RetryDecision.h"
#include "pipeline/ValidateFilter.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace auburndoor;

namespace {

Outcome outcomeOf(OutcomeStatus status, FailureStep step, FailureReason reason)
{
    return { status, {}, { step, {}, reason, {} }, {}, {}, {} };
}

std::optional<Outcome> validate(const IncomingCall &call)
{
    auto configuration = std::make_shared<VersionedDeclaration>();
    ServiceDeclaration service;
    service.id = ServiceId("namedesk");
    service.nonRepeatableKinds = { "vetting" };
    configuration->declaration.services[service.id] = service;
    RequestContext context;
    context.configuration = configuration;
    context.call = call;
    ManualClock clock;
    ValidateFilter filter(clock);
    return filter.apply(context);
}

IncomingCall callWith(const std::string &kind, const std::string &key, const std::string &timeout)
{
    IncomingCall call;
    call.service = "namedesk";
    call.kind = kind;
    call.idempotencyKey = key;
    call.timeout = timeout;
    return call;
}

} // namespace

TEST_CASE("a request is attempted again only after NotRun", "[pipeline]")
{
    // Guards against a second run while the outcome of the first is unknown, also of a repeatable request.
    const bool isSafe = rc::check([&] {
        const auto status = *rc::gen::element(OutcomeStatus::Answered, OutcomeStatus::TaskFailed, OutcomeStatus::Unknown);
        const auto step = static_cast<FailureStep>(*rc::gen::inRange(0, 23));
        const auto reason = static_cast<FailureReason>(*rc::gen::inRange(0, 31));
        RC_ASSERT(adviseRetry(outcomeOf(status, step, reason)) == RetryAdvice::Stop);
    });
    CHECK(isSafe);
}

TEST_CASE("a refusal for lack of capacity is routed again, a refusal that another attempt cannot change is final", "[pipeline]")
{
    CHECK(adviseRetry(outcomeOf(OutcomeStatus::NotRun, FailureStep::Reserve, FailureReason::NoCapacity))
          == RetryAdvice::RouteAgain);
    CHECK(adviseRetry(outcomeOf(OutcomeStatus::NotRun, FailureStep::Start, FailureReason::StaleEpoch))
          == RetryAdvice::RetryUnderBudget);
    CHECK(adviseRetry(outcomeOf(OutcomeStatus::NotRun, FailureStep::Queue, FailureReason::DeadlinePassed)) == RetryAdvice::Stop);
    CHECK(adviseRetry(outcomeOf(OutcomeStatus::NotRun, FailureStep::Record, FailureReason::TimedOut)) == RetryAdvice::Stop);
    CHECK(adviseRetry(outcomeOf(OutcomeStatus::NotRun, FailureStep::Record, FailureReason::Conflict)) == RetryAdvice::ClaimAgain);
}

TEST_CASE("malformed calls are refused with the field that is wrong", "[pipeline]")
{
    // Guards against names that lead to another team's row, and against non-repeatable calls without an idempotency key.
    CHECK_FALSE(validate(callWith("shortlist", "", "100")));
    CHECK(validate(callWith("vetting", "", "100"))->failure.reason == FailureReason::MissingField);
    CHECK_FALSE(validate(callWith("vetting", "key-1", "100")));
    CHECK(validate(callWith("vetting", "../other-team/key", "100"))->failure.reason == FailureReason::MalformedInput);
    CHECK(validate(callWith("shortlist", "", "-1"))->failure.reason == FailureReason::OutOfRange);
    CHECK(validate(callWith("shortlist", "", "99999999999999999999"))->failure.reason == FailureReason::OutOfRange);
    auto lateCall = callWith("shortlist", "", "100");
    lateCall.waited = Milliseconds(99);
    CHECK_FALSE(validate(lateCall));
    // Guards against work for a caller that gave up while its connection waited for a thread.
    lateCall.waited = Milliseconds(100);
    CHECK(validate(lateCall)->failure.reason == FailureReason::DeadlinePassed);
    IncomingCall unknown;
    unknown.service = "kiln";
    CHECK(validate(unknown)->failure.reason == FailureReason::UnknownName);
}
