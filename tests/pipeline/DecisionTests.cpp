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

std::optional<Outcome> describe(const IncomingCall &call)
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

TEST_CASE("a request is attempted again only after a definite not-run", "[pipeline]")
{
    // Guards against a second run beside an attempt whose fate is not known, also of a repeatable request.
    const bool isSafe = rc::check([&] {
        const auto status = *rc::gen::element(OutcomeStatus::Answered, OutcomeStatus::TaskFailed, OutcomeStatus::Unknown);
        const auto step = static_cast<FailureStep>(*rc::gen::inRange(0, 23));
        const auto reason = static_cast<FailureReason>(*rc::gen::inRange(0, 31));
        RC_ASSERT(adviseRetry(outcomeOf(status, step, reason)) == RetryAdvice::Stop);
    });
    CHECK(isSafe);
}

TEST_CASE("a refusal for want of room is routed again, one that waiting cannot mend is final", "[pipeline]")
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
    // Guards against names that break out of a row key, and against calls without the key that makes them safe.
    CHECK_FALSE(describe(callWith("shortlist", "", "100")));
    CHECK(describe(callWith("vetting", "", "100"))->failure.reason == FailureReason::MissingField);
    CHECK_FALSE(describe(callWith("vetting", "key-1", "100")));
    CHECK(describe(callWith("vetting", "../other-team/key", "100"))->failure.reason == FailureReason::MalformedInput);
    CHECK(describe(callWith("shortlist", "", "-1"))->failure.reason == FailureReason::OutOfRange);
    CHECK(describe(callWith("shortlist", "", "99999999999999999999"))->failure.reason == FailureReason::OutOfRange);
    auto late = callWith("shortlist", "", "100");
    late.waited = Milliseconds(99);
    CHECK_FALSE(describe(late));
    // Guards against work for a caller that has given up while its connection waited for a thread.
    late.waited = Milliseconds(100);
    CHECK(describe(late)->failure.reason == FailureReason::DeadlinePassed);
    IncomingCall unknown;
    unknown.service = "kiln";
    CHECK(describe(unknown)->failure.reason == FailureReason::UnknownName);
}
