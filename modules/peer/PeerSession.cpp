#include "peer/PeerSession.h"

#include "observability/Metrics.h"
#include "peer/WireConversion.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <stdexcept>

namespace auburndoor {

namespace {

/** Compares the hashes of two secrets in constant time, so that the duration does not reveal where they differ or their length. */
bool isSameSecret(const std::string &left, const std::string &right)
{
    const auto digest = [](const std::string &text) {
        std::array<unsigned char, SHA256_DIGEST_LENGTH> result {};
        SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), result.data());
        return result;
    };
    const auto leftDigest = digest(left);
    const auto rightDigest = digest(right);
    return CRYPTO_memcmp(leftDigest.data(), rightDigest.data(), leftDigest.size()) == 0;
}

} // namespace

PeerSession::PeerSession(SessionContext &context) : context_(context)
{
}

bool PeerSession::isAuthenticated() const
{
    return isAuthenticated_;
}

void PeerSession::finishCall()
{
    if (std::exchange(isCallAdmitted_, false)) {
        context_.callLimiter.finish();
    }
}

void PeerSession::authenticate(const wire::CallHeader &header)
{
    if (context_.secret.empty() || !isSameSecret(header.secret, context_.secret)) {
        refuse({ FailureStep::Authenticate, {}, FailureReason::BadCredentials, "the peer secret is wrong" });
    }
    isAuthenticated_ = true;
}

void PeerSession::admit(const wire::CallHeader &header)
{
    authenticate(header);
    switch (context_.callLimiter.tryBegin()) {
    case CallLimiter::Admission::Admitted:
        isCallAdmitted_ = true;
        return;
    case CallLimiter::Admission::LimitReached:
        refuse({ FailureStep::Admit, {}, FailureReason::Throttled, "the limit on calls from peers in flight is reached" });
    case CallLimiter::Admission::Closed:
        refuse({ FailureStep::Shutdown, {}, FailureReason::ShuttingDown, "the instance is shutting down" });
    }
}

void PeerSession::refuse(const Failure &failure)
{
    context_.metrics.count("peer_refused_total", name(failure.reason));
    throw makeRefusal(failure);
}

template<typename Convert>
auto PeerSession::convertOrRefuse(Convert convert)
{
    try {
        return convert();
    } catch (const std::out_of_range &exception) {
        refuse({ FailureStep::Parse, {}, FailureReason::OutOfRange, exception.what() });
    }
}

void PeerSession::heartbeat(wire::MemberState &answer, const wire::CallHeader &header, const wire::MemberState &sender)
{
    authenticate(header);
    const auto member = decoder_.decode(sender);
    if (!member) {
        refuse({ FailureStep::Heartbeat,
                 {},
                 FailureReason::MissingField,
                 "the heartbeat lacks fields that this connection has not received before, or is malformed" });
    }
    answer = encoder_.encode(context_.handler.heartbeat(*member));
}

void PeerSession::execute(wire::ForwardedOutcome &answer, const wire::CallHeader &header, const wire::ForwardedRequest &request)
{
    admit(header);
    const auto converted = convertOrRefuse([&] { return fromWire(request, context_.clock.now()); });
    answer = toWire(context_.handler.execute(converted));
}

int64_t PeerSession::announce(const wire::CallHeader &header, const wire::Announcement &announcement)
{
    admit(header);
    return context_.handler.announce(fromWire(announcement));
}

void PeerSession::fetchConfiguration(wire::Announcement &answer, const wire::CallHeader &header)
{
    admit(header);
    answer = toWire(context_.handler.fetchConfiguration());
}

void PeerSession::hold(std::vector<wire::HeldPlace> &answer, const wire::CallHeader &header, const wire::HoldOrder &order)
{
    admit(header);
    const auto holds = context_.handler.hold(fromWire(order));
    std::transform(holds.begin(), holds.end(), std::back_inserter(answer), [](const auto &hold) { return toWire(hold); });
}

void PeerSession::release(const wire::CallHeader &header, const std::vector<wire::HeldPlace> &holds)
{
    admit(header);
    std::vector<Hold> converted;
    std::transform(holds.begin(), holds.end(), std::back_inserter(converted), [](const auto &hold) { return fromWire(hold); });
    context_.handler.release(converted);
}

void PeerSession::startHeld(wire::StartResult &answer,
                            const wire::CallHeader &header,
                            const wire::HeldPlace &place,
                            const wire::StartOrder &start)
{
    admit(header);
    Failure failure;
    const auto result = context_.handler.startHeld(fromWire(place), fromWire(start, context_.clock.wallNow()), failure);
    answer = toWire(result, failure);
}

void PeerSession::queryTask(wire::TaskReport &answer,
                            const wire::CallHeader &header,
                            const std::string &worker,
                            const std::string &task)
{
    admit(header);
    Failure failure;
    const auto result = context_.handler.queryTask(WorkerId(worker), TaskId(task), failure);
    if (!result) {
        throw makeRefusal(failure);
    }
    answer = toWire(*result);
}

void PeerSession::cancelTask(wire::TaskReport &answer,
                             const wire::CallHeader &header,
                             const std::string &worker,
                             const std::string &task)
{
    admit(header);
    Failure failure;
    const auto result = context_.handler.cancelTask(WorkerId(worker), TaskId(task), failure);
    if (!result) {
        throw makeRefusal(failure);
    }
    answer = toWire(*result);
}

void PeerSession::notifyJob(const wire::CallHeader &header, const std::string &shard, const std::string &job)
{
    admit(header);
    context_.handler.notifyJob(ShardId(shard), JobId(job));
}

void PeerSession::runningTasks(std::vector<std::string> &answer, const wire::CallHeader &header, const std::string &job)
{
    admit(header);
    for (const auto &task : context_.handler.runningTasks(JobId(job))) {
        answer.push_back(task.text().substr(job.size() + 1));
    }
}

} // namespace auburndoor
