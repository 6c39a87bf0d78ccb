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

constexpr HttpChannelLimits ownerLimits { .maxConnections = 12, .connectTimeout = Milliseconds(500) };
// What is left of the client's patience for the answer's way back.
constexpr Milliseconds answerMargin { 150 };
constexpr Milliseconds retryPause { 40 };
constexpr Milliseconds retryAfterRefusal { 600 };
// One try at an owner; a second one may meet the next owner.
constexpr Milliseconds tryTimeout { 1000 };
constexpr const char *stoppingText = "the process is stopping";

} // namespace

struct OwnerCallForwarder::Impl : std::enable_shared_from_this<OwnerCallForwarder::Impl>
{
    /** One call on its way. */
    struct Attempt
    {
        ClientCall call;
        Callback callback;
        TimePoint deadline;
        TimePoint refuseAt;
        /** An owner may have received it. */
        bool maybeReceived = false;
        /** It is on its way to an owner, which may receive it. */
        bool isUnderWay = false;
        bool isAnswered = false;
        std::string lastFailure;
    };
    using AttemptPointer = std::shared_ptr<Attempt>;

    Impl(EventLoop &loop, std::function<Owner *()> local, std::function<std::optional<Address>()> remote)
        : loop(loop), local(std::move(local)), remote(std::move(remote))
    {
    }

    void tryOnce(const AttemptPointer &attempt);
    void sendTo(const Address &address, const AttemptPointer &attempt);
    void onSent(const SendResult &sent, const AttemptPointer &attempt);
    void retry(const AttemptPointer &attempt);
    void finish(const AttemptPointer &attempt, const ClientResult &result);
    void giveUp(const AttemptPointer &attempt);

    EventLoop &loop;
    std::function<Owner *()> local;
    std::function<std::optional<Address>()> remote;
    std::unique_ptr<HttpChannels> channels;
    std::set<AttemptPointer> open;
    bool isClosed = false;
};

void OwnerCallForwarder::Impl::finish(const AttemptPointer &attempt, const ClientResult &result)
{
    if (!std::exchange(attempt->isAnswered, true)) {
        open.erase(attempt);
        attempt->callback(result);
    }
}

void OwnerCallForwarder::Impl::giveUp(const AttemptPointer &attempt)
{
    const bool changesState = attempt->call.kind == ClientCall::Kind::Submit || attempt->call.kind == ClientCall::Kind::Cancel;
    if ((attempt->maybeReceived || attempt->isUnderWay) && changesState) {
        finish(attempt, { .outcome = ClientResult::Outcome::Unknown, .detail = attempt->lastFailure });
    } else {
        finish(attempt,
               { .outcome = ClientResult::Outcome::Refused, .retryAfter = retryAfterRefusal, .detail = attempt->lastFailure });
    }
}

void OwnerCallForwarder::Impl::tryOnce(const AttemptPointer &attempt)
{
    if (attempt->isAnswered) {
        return;
    }
    if (auto *owner = local(); owner != nullptr && owner->isReady()) {
        attempt->maybeReceived = true;
        owner->call(attempt->call, [self = shared_from_this(), attempt](const ClientResult &result) {
            if (result.outcome == ClientResult::Outcome::OwnerChanged) {
                attempt->lastFailure = result.detail;
                self->retry(attempt);
            } else {
                self->finish(attempt, result);
            }
        });
        // An owner that is deposed meanwhile does not call back: the next one is asked.
        loop.after(tryTimeout, [self = shared_from_this(), attempt, owner] {
            if (self->local() != owner) {
                self->tryOnce(attempt);
            }
        });
        return;
    }
    if (const auto address = remote()) {
        sendTo(*address, attempt);
        return;
    }
    attempt->lastFailure = "no owner is known";
    retry(attempt);
}

void OwnerCallForwarder::Impl::sendTo(const Address &address, const AttemptPointer &attempt)
{
    if (!channels || channels->peer() != address) {
        channels = std::make_unique<HttpChannels>(loop, address, ownerLimits);
    }
    const auto left = std::chrono::duration_cast<Milliseconds>(attempt->deadline - loop.now());
    const bool isSubmission = attempt->call.kind == ClientCall::Kind::Submit;
    auto call = attempt->call;
    call.timeout = left;
    attempt->isUnderWay = true;
    channels->send(PeerCodec::callRequest(call),
                   isSubmission ? std::max(left, Milliseconds(1)) : std::clamp(left, Milliseconds(1), tryTimeout),
                   [self = shared_from_this(), attempt](const SendResult &sent) { self->onSent(sent, attempt); });
}

void OwnerCallForwarder::Impl::onSent(const SendResult &sent, const AttemptPointer &attempt)
{
    attempt->isUnderWay = false;
    if (sent.hasStatus(200)) {
        const auto result = PeerCodec::readCallReply(sent.reply);
        if (result && result->outcome != ClientResult::Outcome::OwnerChanged) {
            finish(attempt, *result);
            return;
        }
        attempt->maybeReceived = true;
    }
    if (sent.outcome == SendOutcome::Lost) {
        attempt->maybeReceived = true;
    }
    attempt->lastFailure = sent.outcome == SendOutcome::Answered ? "the peer does not own the cell" : "the owner: " + sent.error;
    retry(attempt);
}

void OwnerCallForwarder::Impl::retry(const AttemptPointer &attempt)
{
    const auto now = loop.now() + retryPause;
    if (now > attempt->deadline || (!attempt->maybeReceived && now > attempt->refuseAt)) {
        giveUp(attempt);
        return;
    }
    loop.after(retryPause, [self = shared_from_this(), attempt] { self->tryOnce(attempt); });
}

OwnerCallForwarder::OwnerCallForwarder(EventLoop &loop,
                                       std::function<Owner *()> local,
                                       std::function<std::optional<Address>()> remote)
    : impl_(std::make_shared<Impl>(loop, std::move(local), std::move(remote)))
{
}

OwnerCallForwarder::~OwnerCallForwarder() = default;

void OwnerCallForwarder::call(const ClientCall &call, Callback callback)
{
    auto attempt = std::make_shared<Impl::Attempt>();
    attempt->call = call;
    attempt->callback = std::move(callback);
    attempt->deadline = impl_->loop.now() + call.timeout - std::min(answerMargin, call.timeout / 4);
    attempt->refuseAt = std::min(attempt->deadline, impl_->loop.now() + call.ownerWaitLimit);
    if (impl_->isClosed) {
        attempt->lastFailure = stoppingText;
        impl_->giveUp(attempt);
        return;
    }
    impl_->open.insert(attempt);
    impl_->loop.after(std::chrono::duration_cast<Milliseconds>(attempt->deadline - impl_->loop.now()),
                      [impl = impl_, attempt] { impl->giveUp(attempt); });
    impl_->tryOnce(attempt);
}

void OwnerCallForwarder::close()
{
    impl_->isClosed = true;
    for (const auto &attempt : std::set(impl_->open)) {
        attempt->lastFailure = stoppingText;
        impl_->giveUp(attempt);
    }
}

} // namespace auburndoor
