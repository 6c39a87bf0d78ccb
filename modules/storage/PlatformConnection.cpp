#include "storage/PlatformConnection.h"

#include "core/RandomId.h"
#include "http/HttpClient.h"
#include "observability/Metrics.h"
#include "observability/Traffic.h"

#include <algorithm>

namespace auburndoor {

namespace {

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusUnauthorized = 401;
constexpr int statusForbidden = 403;
constexpr int statusNotFound = 404;
constexpr int statusTooLarge = 413;
constexpr int statusThrottled = 429;
constexpr int statusServerError = 500;
constexpr int statusDown = 503;

/** Doubling stops here; the longest backoff is reached long before. */
constexpr int maxDoublings = 16;

FailureReason reasonOfStatus(int status)
{
    switch (status) {
    case statusBadRequest:
        return FailureReason::MalformedInput;
    case statusUnauthorized:
    case statusForbidden:
        return FailureReason::BadCredentials;
    case statusNotFound:
        return FailureReason::UnknownName;
    case statusTooLarge:
        return FailureReason::TooLarge;
    case statusThrottled:
        return FailureReason::Throttled;
    case statusDown:
        return FailureReason::ServiceDown;
    default:
        return FailureReason::BadReply;
    }
}

/** "platform/table/commit" for a call of the table; the keys of objects and cursors are left out. */
std::string trafficLabel(const std::string &path)
{
    constexpr std::string_view version = "/v1/";
    const auto call = path.substr(version.size(), path.find('?') - version.size());
    const auto kind = call.substr(0, call.find('/'));
    return "platform/" + (kind == "table" ? call : kind);
}

} // namespace

PlatformConnection::PlatformConnection(PlatformOptions options, Clock &clock, Metrics &metrics)
    : options_(std::move(options)), clock_(clock), metrics_(metrics)
{
    for (const auto &address : options_.addresses) {
        clients_.push_back(std::make_unique<HttpClient>(address, options_.connectionLimit));
    }
}

PlatformConnection::~PlatformConnection() = default;

bool PlatformConnection::call(const PlatformCall &call,
                              TimePoint deadline,
                              const Reader &reader,
                              bool &mayHaveArrived,
                              Failure &failure)
{
    failure = { call.step, "platform", FailureReason::DeadlinePassed, "the deadline had passed before the first attempt" };
    auto index = preferred_.load();
    bool isRepetition = false;
    for (int round = 0;; ++round) {
        for (std::size_t tried = 0; tried < clients_.size(); ++tried) {
            const auto remaining = std::chrono::ceil<Milliseconds>(deadline - clock_.now());
            if (remaining <= Milliseconds(0)) {
                return false;
            }
            if (isRepetition) {
                metrics_.countRetry(failure);
            }
            isRepetition = true;
            const auto timeout = std::min(options_.attemptTimeout, remaining);
            const auto result = attempt(*clients_[index], call, timeout, reader, mayHaveArrived, failure);
            if (result == AttemptResult::Done) {
                preferred_ = index;
                return true;
            }
            if (result == AttemptResult::Refused) {
                return false;
            }
            index = (index + 1) % clients_.size();
            if (result == AttemptResult::RetryLater) {
                break;
            }
        }
        waitForNextRound(round, deadline);
    }
}

PlatformConnection::AttemptResult PlatformConnection::attempt(HttpClient &client,
                                                              const PlatformCall &call,
                                                              Milliseconds timeout,
                                                              const Reader &reader,
                                                              bool &mayHaveArrived,
                                                              Failure &failure)
{
    Delivery delivery = Delivery::MaybeSent;
    // Not repeatable for the client: its own repetition would hide that a first attempt may have arrived.
    const auto reply = client.exchange(call.method, call.path, call.body, {}, timeout, false, delivery, failure);
    failure.step = call.step;
    if (!reply) {
        mayHaveArrived = mayHaveArrived || delivery == Delivery::MaybeSent;
        return AttemptResult::Retry;
    }
    failure.peer = client.address();
    countTraffic(metrics_, trafficLabel(call.path), reply->exchangedBytes);
    const auto mayHaveArrivedBefore = mayHaveArrived;
    if (reply->status == statusOk) {
        failure.reason = FailureReason::BadReply;
        failure.message = "the body is not what the protocol says";
        if (reader(*reply)) {
            return AttemptResult::Done;
        }
        mayHaveArrived = true;
        return AttemptResult::Retry;
    }
    failure.reason = reasonOfStatus(reply->status);
    failure.message = "status " + std::to_string(reply->status);
    if (failure.reason == FailureReason::Throttled) {
        return AttemptResult::RetryLater;
    }
    if (failure.reason == FailureReason::ServiceDown) {
        return AttemptResult::Retry;
    }
    if (failure.reason == FailureReason::BadReply || reply->status >= statusServerError) {
        // A status that the protocol does not know, such as a proxy's, says nothing about the table.
        mayHaveArrived = true;
        return AttemptResult::Retry;
    }
    return call.isCommit && mayHaveArrivedBefore ? AttemptResult::Retry : AttemptResult::Refused;
}

void PlatformConnection::waitForNextRound(int round, TimePoint deadline)
{
    const auto doubled = options_.firstBackoff * (1LL << std::min(round, maxDoublings));
    const auto longest = std::min<Milliseconds>(doubled, options_.longestBackoff);
    // Half fixed, half random: clients that failed together at the start of an outage do not return together at its end.
    const auto wait = longest / 2 + Milliseconds(randomBelow(longest.count() / 2 + 1));
    std::mutex mutex;
    std::condition_variable condition;
    std::unique_lock lock(mutex);
    clock_.waitUntil(lock, condition, std::min(deadline, clock_.now() + wait), [] { return false; });
}

} // namespace auburndoor
