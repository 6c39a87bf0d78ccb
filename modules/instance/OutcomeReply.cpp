#include "instance/OutcomeReply.h"

#include <nlohmann/json.hpp>

namespace auburndoor {

namespace {

constexpr Milliseconds second { 1000 };

int refusalStatus(const Failure &failure)
{
    switch (failure.reason) {
    case FailureReason::BadCredentials:
        return 401;
    case FailureReason::UnknownName:
        return 404;
    case FailureReason::DuplicateKey:
    case FailureReason::Conflict:
        return 409;
    case FailureReason::TooLarge:
        return 413;
    case FailureReason::MalformedInput:
    case FailureReason::MissingField:
    case FailureReason::OutOfRange:
        return 400;
    case FailureReason::NeverFits:
        return 422;
    case FailureReason::QuotaExceeded:
    case FailureReason::QueueFull:
    case FailureReason::DeadlineTooShort:
        return 429;
    default:
        return 503;
    }
}

HttpReply makeFailureReply(int status, const char *outcome, const Failure &failure, Milliseconds retryAfter)
{
    HttpReply reply;
    reply.status = status;
    const nlohmann::ordered_json error {
        { "step", name(failure.step) }, { "peer", failure.peer }, { "reason", name(failure.reason) }, { "message", failure.message }
    };
    const nlohmann::ordered_json body { { "outcome", outcome }, { "error", error }, { "retryAfterMs", retryAfter.count() } };
    reply.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    reply.headers["Outcome"] = outcome;
    if (retryAfter.count() > 0) {
        reply.headers["Retry-After"] = std::to_string((retryAfter + second - Milliseconds(1)) / second);
    }
    return reply;
}

} // namespace

HttpReply makeOutcomeReply(const Outcome &outcome, const RequestId &request)
{
    HttpReply reply;
    switch (outcome.status) {
    case OutcomeStatus::Answered:
        reply = { 200, outcome.answer, "application/octet-stream", { { "Outcome", "answered" } } };
        break;
    case OutcomeStatus::TaskFailed:
        reply = { 502, outcome.answer, "application/octet-stream", { { "Outcome", "task-failed" } } };
        break;
    case OutcomeStatus::NotRun:
        reply = makeRefusalReply(outcome.failure, outcome.retryAfter);
        break;
    case OutcomeStatus::Unknown:
        reply = makeFailureReply(504, "unknown", outcome.failure, outcome.retryAfter);
        break;
    }
    reply.headers["Request-Id"] = request.text();
    if (!outcome.worker.isEmpty()) {
        reply.headers["Worker"] = outcome.worker.text();
    }
    return reply;
}

HttpReply makeRefusalReply(const Failure &failure, Milliseconds retryAfter)
{
    return makeFailureReply(refusalStatus(failure), "not-run", failure, retryAfter);
}

std::string readBearerToken(const HttpRequest &request)
{
    constexpr std::string_view scheme = "Bearer ";
    const auto value = request.header("authorization");
    return value.starts_with(scheme) ? value.substr(scheme.size()) : std::string();
}

} // namespace auburndoor
