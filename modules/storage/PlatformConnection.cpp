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
constexpr int statusUnavailable = 503;

/** Limits the doublings of the backoff against overflow; the longest backoff is reached with far fewer. */
constexpr int maxDoublings = 16;

FailureReason toFailureReason(int status)
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
    case statusUnavailable:
        return FailureReason::ServiceDown;
    default:
        return FailureReason::BadReply;
    }
}

/** The label of a request path for traffic metrics, such as "platform/table/commit"; without names of objects and cursors. */
std::string makeTrafficLabel(const std::string &path)
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
        clients_.push_back(std::make_unique<HttpClient>(address, options_.idleConnectionLimit));
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
    auto index = preferredIndex_.load();
    bool isRetry = false;
    for (int round = 0;; ++round) {
        for (std::size_t triedCount = 0; triedCount < clients_.size(); ++triedCount) {
            const auto remaining = std::chrono::ceil<Milliseconds>(deadline - clock_.now());
            if (remaining <= Milliseconds(0)) {
                return false;
            }
            if (isRetry) {
                metrics_.countRetry(failure);
            }
            isRetry = true;
            const auto timeout = std::min(options_.attemptTimeout, remaining);
            const auto result = attempt(*clients_[index], call, timeout, reader, mayHaveArrived, failure);
            if (result == AttemptResult::Done) {
                preferredIndex_ = index;
                return true;
            }
            if (result == AttemptResult::Refused) {
                return false;
            }
            index = (index + 1) % clients_.size();
            if (result == AttemptResult::RetryAfterWait) {
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
    // Not marked as repeatable: a repetition by the client would hide that its first attempt may have arrived.
    const auto reply = client.exchange(call.method, call.path, call.body, {}, timeout, false, delivery, failure);
    failure.step = call.step;
    if (!reply) {
        mayHaveArrived = mayHaveArrived || delivery == Delivery::MaybeSent;
        return AttemptResult::Retry;
    }
    failure.peer = client.address();
    countTraffic(metrics_, makeTrafficLabel(call.path), reply->exchangedBytes);
    const auto mayHaveArrivedBefore = mayHaveArrived;
    if (reply->status == statusOk) {
        failure.reason = FailureReason::BadReply;
        failure.message = "the body does not follow the protocol";
        if (reader(*reply)) {
            return AttemptResult::Done;
        }
        mayHaveArrived = true;
        return AttemptResult::Retry;
    }
    failure.reason = toFailureReason(reply->status);
    failure.message = "status " + std::to_string(reply->status);
    if (failure.reason == FailureReason::Throttled) {
        return AttemptResult::RetryAfterWait;
    }
    if (failure.reason == FailureReason::ServiceDown) {
        return AttemptResult::Retry;
    }
    if (failure.reason == FailureReason::BadReply || reply->status >= statusServerError) {
        // A status outside the protocol, such as a proxy's, does not tell whether the request took effect.
        mayHaveArrived = true;
        return AttemptResult::Retry;
    }
    return call.isCommit && mayHaveArrivedBefore ? AttemptResult::Retry : AttemptResult::Refused;
}

void PlatformConnection::waitForNextRound(int round, TimePoint deadline)
{
    const auto doubledBackoff = options_.firstBackoff * (1LL << std::min(round, maxDoublings));
    const auto longestWait = std::min<Milliseconds>(doubledBackoff, options_.longestBackoff);
    // Half of the wait is random, so that clients that failed together at the start of an outage do not all retry together at its
    // end.
    const auto wait = longestWait / 2 + Milliseconds(randomBelow(longestWait.count() / 2 + 1));
    std::mutex mutex;
    std::condition_variable condition;
    std::unique_lock lock(mutex);
    clock_.waitUntil(lock, condition, std::min(deadline, clock_.now() + wait), [] { return false; });
}

} // namespace auburndoor
