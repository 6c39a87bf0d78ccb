#include "entry/OwnerCallForwarder.h"

#include "entry/Owner.h"
#include "entry/PeerCodec.h"
#include "net/EventLoop.h"
#include "net/HttpChannels.h"
#include "observability/EventLog.h"

#include <algorithm>
#include <set>

namespace auburndoor {

namespace {

constexpr HttpChannelLimits ownerChannelLimits { .maxConnections = 12, .connectTimeout = Milliseconds(500) };
// Part of the client's timeout that is kept for the answer to reach the client.
constexpr Milliseconds answerMargin { 150 };
constexpr Milliseconds retryDelay { 40 };
constexpr Milliseconds retryAfterRefusal { 600 };
// Timeout of one attempt to reach an owner; the next attempt may reach its successor.
constexpr Milliseconds attemptTimeout { 1000 };
constexpr Milliseconds maxWatchStep { 5000 };
constexpr const char *stoppingMessage = "the entry process is stopping";

bool changesState(const ClientCall &call)
{
    return call.kind == ClientCall::Kind::Submit || call.kind == ClientCall::Kind::Cancel;
}

} // namespace

struct OwnerCallForwarder::Impl : std::enable_shared_from_this<OwnerCallForwarder::Impl>
{
    /** A call that has not been answered. */
    struct OpenCall
    {
        ClientCall call;
        Callback callback;
        /** When the call is answered whether or not the owner has. */
        TimePoint deadline;
        /** A call that no owner can have received is refused from then on. */
        TimePoint ownerWaitDeadline;
        /** An owner may have received it in an earlier attempt. */
        bool mayHaveBeenReceived = false;
        /** An attempt ended without a reply. The owner may still read it, after a later attempt that it refuses. */
        bool wasAttemptLost = false;
        /** A request that carries it is in flight to another process. */
        bool isInFlight = false;
        bool isAnswered = false;
        /** Why the last attempt failed; for a person. */
        std::string lastFailure;
    };
    using OpenCallPointer = std::shared_ptr<OpenCall>;

    Impl(EventLoop &loop, std::function<Owner *()> localOwner, std::function<std::optional<Address>()> remoteOwnerAddress)
        : loop(loop), localOwner(std::move(localOwner)), remoteOwnerAddress(std::move(remoteOwnerAddress))
    {
    }

    /** Passes the call to the owner that is known now, or schedules a retry. */
    void tryOwner(const OpenCallPointer &openCall);
    void sendToOwner(const Address &address, const OpenCallPointer &openCall);
    void onReply(const SendResult &sent, const Address &address, const OpenCallPointer &openCall);
    void scheduleRetry(const OpenCallPointer &openCall);
    void finish(const OpenCallPointer &openCall, const ClientResult &result);
    /** Gives the call up at its deadline. */
    void watchDeadline(const OpenCallPointer &openCall);
    /** Answers the call without an owner's result. */
    void giveUp(const OpenCallPointer &openCall);

    EventLoop &loop;
    std::function<Owner *()> localOwner;
    std::function<std::optional<Address>()> remoteOwnerAddress;
    std::unique_ptr<HttpChannels> channels;
    std::set<OpenCallPointer> openCalls;
    bool isClosed = false;
};

void OwnerCallForwarder::Impl::finish(const OpenCallPointer &openCall, const ClientResult &result)
{
    if (!std::exchange(openCall->isAnswered, true)) {
        openCalls.erase(openCall);
        // An owner that was deposed may keep the call; what it holds for the client must not wait for that.
        openCall->call.body = std::string();
        std::exchange(openCall->callback, nullptr)(result);
    }
}

void OwnerCallForwarder::Impl::giveUp(const OpenCallPointer &openCall)
{
    if ((openCall->mayHaveBeenReceived || openCall->isInFlight) && changesState(openCall->call)) {
        finish(openCall, { .outcome = ClientResult::Outcome::Unknown, .detail = openCall->lastFailure });
    } else {
        finish(openCall,
               { .outcome = ClientResult::Outcome::Refused, .retryAfter = retryAfterRefusal, .detail = openCall->lastFailure });
    }
}

void OwnerCallForwarder::Impl::watchDeadline(const OpenCallPointer &openCall)
{
    const auto remaining = std::chrono::duration_cast<Milliseconds>(openCall->deadline - loop.now());
    // In steps, since timers can't be cancelled: those of answered calls would stay for the timeout that the client has chosen.
    const bool isLast = remaining <= maxWatchStep;
    loop.after(std::min(remaining, maxWatchStep), [self = shared_from_this(), weakCall = std::weak_ptr(openCall), isLast] {
        const auto openCall = weakCall.lock();
        if (!openCall || openCall->isAnswered) {
            return;
        }
        if (isLast) {
            self->giveUp(openCall);
        } else {
            self->watchDeadline(openCall);
        }
    });
}

void OwnerCallForwarder::Impl::tryOwner(const OpenCallPointer &openCall)
{
    if (openCall->isAnswered) {
        return;
    }
    if (auto *owner = localOwner(); owner != nullptr && owner->isReady()) {
        openCall->mayHaveBeenReceived = true;
        owner->call(openCall->call, [self = shared_from_this(), openCall](const ClientResult &result) {
            if (result.outcome == ClientResult::Outcome::OwnerChanged) {
                openCall->lastFailure = result.detail;
                self->scheduleRetry(openCall);
            } else {
                self->finish(openCall, result);
            }
        });
        // An owner that is deposed meanwhile may not call back; then the next owner is tried.
        loop.after(attemptTimeout, [self = shared_from_this(), weakCall = std::weak_ptr(openCall), owner] {
            const auto openCall = weakCall.lock();
            if (openCall && self->localOwner() != owner) {
                self->tryOwner(openCall);
            }
        });
        return;
    }
    if (const auto address = remoteOwnerAddress()) {
        sendToOwner(*address, openCall);
        return;
    }
    openCall->lastFailure = localOwner() == nullptr ? "no owner is known" : localOwner()->describeUnreadiness();
    scheduleRetry(openCall);
}

void OwnerCallForwarder::Impl::sendToOwner(const Address &address, const OpenCallPointer &openCall)
{
    if (!channels || channels->peer() != address) {
        channels = std::make_unique<HttpChannels>(loop, address, ownerChannelLimits);
    }
    const auto remaining = std::chrono::duration_cast<Milliseconds>(openCall->deadline - loop.now());
    const bool isSubmission = openCall->call.kind == ClientCall::Kind::Submit;
    auto call = openCall->call;
    call.timeout = remaining;
    openCall->isInFlight = true;
    channels->send(
        PeerCodec::callRequest(call),
        isSubmission ? std::max(remaining, Milliseconds(1)) : std::clamp(remaining, Milliseconds(1), attemptTimeout),
        [self = shared_from_this(), address, openCall](const SendResult &sent) { self->onReply(sent, address, openCall); });
}

void OwnerCallForwarder::Impl::onReply(const SendResult &sent, const Address &address, const OpenCallPointer &openCall)
{
    openCall->isInFlight = false;
    if (sent.hasStatus(200)) {
        auto result = PeerCodec::readCallReply(sent.reply);
        if (result && result->outcome != ClientResult::Outcome::OwnerChanged) {
            if (result->outcome == ClientResult::Outcome::Refused && openCall->wasAttemptLost && changesState(openCall->call)) {
                result->outcome = ClientResult::Outcome::Unknown;
            }
            finish(openCall, *result);
            return;
        }
        openCall->mayHaveBeenReceived = true;
        openCall->lastFailure = result ? result->detail : "the owner's answer cannot be read";
        scheduleRetry(openCall);
        return;
    }
    if (sent.outcome == SendOutcome::Lost) {
        openCall->mayHaveBeenReceived = true;
        openCall->wasAttemptLost = true;
    }
    openCall->lastFailure = sent.outcome == SendOutcome::Answered
                                ? "the process at the owner's address " + address.text()
                                      + " does not serve calls: " + PeerCodec::describeRefusedCall(sent.reply)
                                : "the call to the owner at " + address.text() + " failed: " + sent.error;
    scheduleRetry(openCall);
}

void OwnerCallForwarder::Impl::scheduleRetry(const OpenCallPointer &openCall)
{
    const auto nextAttemptAt = loop.now() + retryDelay;
    if (nextAttemptAt > openCall->deadline || (!openCall->mayHaveBeenReceived && nextAttemptAt > openCall->ownerWaitDeadline)) {
        giveUp(openCall);
        return;
    }
    loop.after(retryDelay, [self = shared_from_this(), openCall] { self->tryOwner(openCall); });
}

OwnerCallForwarder::OwnerCallForwarder(EventLoop &loop,
                                       std::function<Owner *()> localOwner,
                                       std::function<std::optional<Address>()> remoteOwnerAddress)
    : impl_(std::make_shared<Impl>(loop, std::move(localOwner), std::move(remoteOwnerAddress)))
{
}

OwnerCallForwarder::~OwnerCallForwarder() = default;

void OwnerCallForwarder::call(const ClientCall &call, Callback callback)
{
    // Apart from its control block, so that timers of an answered call keep little.
    const Impl::OpenCallPointer openCall(new Impl::OpenCall);
    openCall->call = call;
    openCall->callback = std::move(callback);
    openCall->deadline = impl_->loop.now() + call.timeout - std::min(answerMargin, call.timeout / 4);
    openCall->ownerWaitDeadline = std::min(openCall->deadline, impl_->loop.now() + call.ownerWaitLimit);
    if (impl_->isClosed) {
        openCall->lastFailure = stoppingMessage;
        impl_->giveUp(openCall);
        return;
    }
    impl_->openCalls.insert(openCall);
    impl_->watchDeadline(openCall);
    impl_->tryOwner(openCall);
}

void OwnerCallForwarder::close()
{
    impl_->isClosed = true;
    for (const auto &openCall : std::set(impl_->openCalls)) {
        openCall->lastFailure = stoppingMessage;
        impl_->giveUp(openCall);
    }
}

} // namespace auburndoor
