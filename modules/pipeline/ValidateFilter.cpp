#include "pipeline/ValidateFilter.h"

#include "pipeline/RequestContext.h"

#include <algorithm>
#include <charconv>

namespace auburndoor {

namespace {

constexpr std::size_t maximumNameLength = 128;

Outcome makeRefusal(FailureReason reason, std::string message)
{
    return { OutcomeStatus::NotRun, {}, { FailureStep::Parse, {}, reason, std::move(message) }, {}, {}, {} };
}

/** Kinds and idempotency keys become parts of row keys, so only letters, digits and - _ . : are allowed. */
bool isWellFormed(const std::string &name)
{
    return name.size() <= maximumNameLength && std::all_of(name.begin(), name.end(), [](unsigned char character) {
               return std::isalnum(character) != 0 || character == '-' || character == '_' || character == '.' || character == ':';
           });
}

std::optional<Outcome> parsePriority(RequestContext &context)
{
    const auto &text = context.call.priority;
    if (text.empty()) {
        context.request.priority = context.service->priority;
    } else if (text == "urgent") {
        context.request.priority = Priority::Urgent;
    } else if (text == "normal") {
        context.request.priority = Priority::Normal;
    } else if (text == "background") {
        context.request.priority = Priority::Background;
    } else {
        return makeRefusal(FailureReason::OutOfRange, "priority \"" + text + "\" is not one of urgent, normal, background");
    }
    return std::nullopt;
}

std::optional<Outcome> parseDeadline(RequestContext &context, TimePoint now)
{
    const auto &text = context.call.timeout;
    auto timeout = context.service->defaultDeadline;
    if (!text.empty()) {
        long long milliseconds = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
        const auto maximum = context.service->maximumDeadline.count();
        if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || milliseconds < 1 || milliseconds > maximum) {
            return makeRefusal(FailureReason::OutOfRange,
                               "timeout \"" + text + "\" is not a number of milliseconds from 1 to " + std::to_string(maximum));
        }
        timeout = Milliseconds(milliseconds);
    }
    context.request.arrival = now - context.call.waited;
    context.request.deadline = context.request.arrival + timeout;
    if (context.request.deadline <= now) {
        auto refused = makeRefusal(FailureReason::DeadlinePassed,
                                   "the deadline passed while the call waited for a connection thread");
        refused.failure.step = FailureStep::Queue;
        return refused;
    }
    return std::nullopt;
}

std::optional<Outcome> determineRepeatability(RequestContext &context)
{
    const auto &service = *context.service;
    const auto &kinds = service.nonRepeatableKinds;
    auto &request = context.request;
    request.isRepeatable = service.isRepeatable && std::find(kinds.begin(), kinds.end(), request.kind) == kinds.end();
    if (!request.isRepeatable && request.idempotencyKey.empty()) {
        return makeRefusal(FailureReason::MissingField, "a request that is not repeatable needs the header Idempotency-Key");
    }
    return std::nullopt;
}

} // namespace

ValidateFilter::ValidateFilter(Clock &clock) : clock_(clock)
{
}

std::optional<Outcome> ValidateFilter::apply(RequestContext &context)
{
    const auto &call = context.call;
    if (!isWellFormed(call.kind) || !isWellFormed(call.idempotencyKey)) {
        return makeRefusal(FailureReason::MalformedInput,
                           "kind and Idempotency-Key take up to 128 letters, digits and the signs - _ . :");
    }
    const auto &services = context.configuration->declaration.services;
    const auto found = services.find(ServiceId(call.service));
    if (found == services.end()) {
        return makeRefusal(FailureReason::UnknownName,
                           "no service \"" + call.service.substr(0, maximumNameLength) + "\" is declared");
    }
    context.service = &found->second;
    auto &request = context.request;
    request.service = found->first;
    request.kind = call.kind;
    request.need = context.service->need;
    request.idempotencyKey = call.idempotencyKey;
    request.body = call.body;
    if (auto refused = parsePriority(context)) {
        return refused;
    }
    if (auto refused = parseDeadline(context, clock_.now())) {
        return refused;
    }
    return determineRepeatability(context);
}

} // namespace auburndoor
