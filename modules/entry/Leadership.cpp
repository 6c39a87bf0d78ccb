#include "entry/Leadership.h"

#include "dispatch/CommitQueue.h"
#include "entry/HeartbeatPacing.h"
#include "entry/LeadershipImpl.h"
#include "entry/OwnerShare.h"
#include "observability/EventLog.h"

#include <utility>

namespace auburndoor {

namespace {

constexpr Milliseconds smallMachineTakeoverDelay { 500 };
constexpr Milliseconds heartbeatConnectTimeout { 400 };
// Connections may be reset several times in a row; a process that closes each of them answers nobody.
constexpr int maxReconnections = 3;
} // namespace

Milliseconds Leadership::Impl::jitter()
{
    return Milliseconds(std::uniform_int_distribution<Milliseconds::rep>(0, timing.maxJitter.count())(random));
}

void Leadership::Impl::runAfter(Milliseconds delay, void (Impl::*action)())
{
    loop.after(delay, [self = shared_from_this(), action] {
        if (!self->isClosed) {
            ((*self).*action)();
        }
    });
}

void Leadership::Impl::findOwner()
{
    if (isOwner || isFencingCallInFlight) {
        return;
    }
    isFencingCallInFlight = true;
    loop.after(timing.epochReadingPatience,
               [self = shared_from_this(), reading = ++epochReadings] { self->askPeersMeanwhile(reading); });
    store.readRow(
        FencingRows::table, FencingRows::epochKey, [self = shared_from_this(), sentAt = loop.now()](const StoreResult &result) {
            if (!self->isClosed) {
                self->isFencingCallInFlight = false;
                self->onEpochRow(result, sentAt);
            }
        });
}

void Leadership::Impl::onEpochRow(const StoreResult &result, TimePoint sentAt)
{
    if (isOwner) {
        return;
    }
    if (result.outcome != StoreOutcome::Done) {
        // The store may refuse only this process; the other processes may know the owner.
        queryPeers([self = shared_from_this()](const std::vector<OwnerView> &views) {
            if (!self->isOwner && !self->isOwnerResponding && !self->followNewestOwner(views)) {
                self->runAfter(self->timing.retryDelay + self->jitter(), &Impl::retryOwner);
            }
        });
        return;
    }
    const auto row = result.rows.empty() ? EpochRow() : EpochRow::read(result.rows.front());
    const auto version = result.rows.empty() ? 0 : result.rows.front().version;
    const bool isVacant = row.owner.empty() || row.owner == settings.nodeName;
    verifyDenial(row, sentAt);
    if (isVacant || mayReplace(row)) {
        const auto delay = takeoverDelay(row);
        if (!isTakeoverDisabled && delay > Milliseconds(0) && std::exchange(delayedTakeoverToken, row.token) != row.token) {
            runAfter(delay, &Impl::findOwner);
        } else if (!isTakeoverDisabled) {
            takeOver(row, version);
        } else {
            runAfter(timing.retryDelay + jitter(), &Impl::findOwner);
        }
        return;
    }
    const bool isFollowed = isOwnerResponding && row.token == owner.token;
    if (!isFollowed) {
        follow(row);
    }
}

Milliseconds Leadership::Impl::takeoverDelay(const EpochRow &row) const
{
    const bool namesSuccessor = row.owner.empty() && !row.address.empty();
    if (namesSuccessor && row.address == settings.peers.text()) {
        return Milliseconds(0);
    }
    // The owner has most of the work, so a larger machine gets the first chance to take over.
    const auto sizeDelay = ownerShare(settings) < largeMachineShare ? smallMachineTakeoverDelay : Milliseconds(0);
    return std::max(sizeDelay, namesSuccessor ? timing.successorTakeoverTime : Milliseconds(0));
}

void Leadership::Impl::askPeersMeanwhile(std::uint64_t reading)
{
    const auto isNeeded = [this, reading] {
        return !isClosed && !isOwner && !isOwnerResponding && isFencingCallInFlight && epochReadings == reading;
    };
    if (!isNeeded()) {
        return;
    }
    queryPeers([self = shared_from_this(), reading, isNeeded](const std::vector<OwnerView> &views) {
        if (isNeeded() && !self->followNewestOwner(views)) {
            self->loop.after(self->timing.epochReadingPatience, [self, reading] { self->askPeersMeanwhile(reading); });
        }
    });
}

void Leadership::Impl::retryOwner()
{
    if (isOwner || isOwnerResponding) {
        return;
    }
    if (heartbeatChannel) {
        follow(EpochRow(owner));
    } else {
        findOwner();
    }
}

void Leadership::Impl::takeOver(const EpochRow &row, std::int64_t version)
{
    EventLog::write("owner.attempt", { { "token", row.token + 1 }, { "instead_of", row.owner } });
    const EpochRow next { row.token + 1, settings.nodeName, settings.peers.text() };
    StoreChange change;
    change.expected.push_back({ FencingRows::table, FencingRows::epochKey, version });
    change.writes.push_back({ FencingRows::table, FencingRows::epochKey, next.toText() });
    // The first transaction has to know the version of the sequence row. A reading of it could fail after the takeover is applied.
    change.writes.push_back(
        { FencingRows::table, FencingRows::sequenceKey, settings.nodeName + "#" + std::to_string(next.token) + " takeover" });
    isFencingCallInFlight = true;
    takeoverSentAt = takeoverSentAt.value_or(loop.now());
    store.commit(std::move(change),
                 [self = shared_from_this(), token = next.token, sentAt = CallTime::now(loop)](const StoreResult &result) {
                     if (!self->isClosed) {
                         self->isFencingCallInFlight = false;
                         self->onTakeoverResult(result, token, sentAt);
                     }
                 });
}

void Leadership::Impl::onTakeoverResult(const StoreResult &result, std::int64_t token, CallTime sentAt)
{
    if (result.outcome == StoreOutcome::Done) {
        becomeOwner({ token, result.version, result.version, sentAt });
        return;
    }
    EventLog::write("owner.attempt_failed",
                    { { "token", token }, { "outcome", name(result.outcome) }, { "detail", result.detail } });
    // If the answer was lost, the row shows whether the write was applied. If it names this process, it is replaced once more.
    runAfter(result.outcome == StoreOutcome::Conflict ? Milliseconds(0) : timing.retryDelay + jitter(), &Impl::findOwner);
}

void Leadership::Impl::becomeOwner(const Ownership &won)
{
    isOwner = true;
    takeoverSentAt.reset();
    wonAt = loop.now();
    isOwnerResponding = false;
    ++heartbeatRound;
    owner = { won.token, settings.nodeName, settings.peers.text() };
    heartbeatChannel.reset();
    EventLog::write("owner.won", { { "token", won.token } });
    hooks.onOwnershipWon(won);
    watchForSuccessor(won.token);
}

void Leadership::Impl::follow(const EpochRow &row)
{
    const auto address = Address::parse(row.address);
    if (!address) {
        allowTakeover(row.token);
        runAfter(timing.retryDelay, &Impl::findOwner);
        return;
    }
    takeoverSentAt.reset();
    if (row.token != owner.token || !heartbeatChannel) {
        EventLog::write("owner.followed", { { "owner", row.owner }, { "token", row.token } });
        owner = row;
        heartbeatChannel = std::make_unique<HttpChannels>(
            loop, *address, HttpChannelLimits { .maxConnections = 1, .connectTimeout = heartbeatConnectTimeout });
        unheardOwner = UnheardOwner { std::nullopt, loop.now(), 0 };
        readOwnerProgress([this](const StoreResult &result) { noteOwnerProgress(result); });
        // Nothing is known yet of how busy the owner is, nor of members that could be asked about it.
        heartbeatGracePeriod = HeartbeatPacing::computeGracePeriod(Milliseconds::max(), timing.heartbeatGracePeriod);
    }
    ++heartbeatRound;
    reconnections = 0;
    expectedHeartbeatDelay = timing.heartbeatDelay;
    requestHeartbeat();
}

void Leadership::Impl::requestHeartbeat()
{
    if (isOwner || !heartbeatChannel) {
        return;
    }
    const auto version = hooks.desiredStateVersion ? hooks.desiredStateVersion() : 0;
    auto request = PeerCodec::heartbeatRequest({ settings.peers, ownerShare(settings), isTakeoverDisabled, version });
    // The channel would repeat it within the time of the first request, though the owner holds the repeated one for the whole
    // delay.
    request.isRepeatable = false;
    if (!isOwnerResponding || reconnections > 0) {
        request.target += PeerCodec::firstHeartbeatQuery;
    }
    heartbeatChannel->send(std::move(request),
                           heartbeatTimeout(),
                           [self = shared_from_this(), sentRound = heartbeatRound, sentAt = loop.now()](const SendResult &sent) {
                               if (!self->isClosed) {
                                   self->onHeartbeat(sent, sentRound, sentAt);
                               }
                           });
}

Milliseconds Leadership::Impl::heartbeatTimeout() const
{
    // The first request on a new connection is answered at once.
    return reconnections > 0 ? heartbeatGracePeriod : expectedHeartbeatDelay + heartbeatGracePeriod;
}

void Leadership::Impl::onHeartbeat(const SendResult &sent, std::uint64_t sentRound, TimePoint sentAt)
{
    if (sentRound != heartbeatRound || isOwner) {
        return;
    }
    const auto heartbeat = sent.hasStatus(200) ? PeerCodec::readHeartbeat(sent.reply) : std::nullopt;
    const auto expectedDelay = reconnections > 0 ? Milliseconds(0) : expectedHeartbeatDelay;
    if (!heartbeat || heartbeat->token != owner.token) {
        const bool isBroken = sent.outcome == SendOutcome::Lost && loop.now() - sentAt < heartbeatTimeout();
        if (isBroken && isOwnerResponding && reconnections < maxReconnections) {
            // A reset connection is no sign of a failed owner, unless the next one is refused.
            ++reconnections;
            requestHeartbeat();
            return;
        }
        reconnections = 0;
        // Another status, as that of a full listener, says nothing of the ownership.
        const bool isNotOwner = heartbeat || sent.hasStatus(PeerCodec::notOwnerStatus);
        const bool isRefused = sent.outcome == SendOutcome::NotSent && loop.now() - sentAt < heartbeatConnectTimeout;
        onHeartbeatLost(isNotOwner,
                        isRefused,
                        isNotOwner                              ? "it is not the owner"
                        : sent.outcome == SendOutcome::Answered ? PeerCodec::describeRefusedCall(sent.reply)
                                                                : sent.error);
        return;
    }
    isOwnerResponding = true;
    reconnections = 0;
    unheardOwner.reset();
    deniedOwnership.reset();
    knownMembers = heartbeat->members;
    desiredStateVersion = heartbeat->desiredStateVersion;
    reportNewerState(desiredStateVersion);
    isOwnerReady = heartbeat->isReady;
    ownerStoreStallDuration = heartbeat->storeStallDuration;
    if (ownerStalledTable != heartbeat->stalledTable) {
        successfulStoreProbes = 0;
        ownerStalledTable = heartbeat->stalledTable;
    }
    // A heartbeat that was late on its way tells as much as a busy owner: the next one may be later still.
    const auto lateness = std::chrono::duration_cast<Milliseconds>(loop.now() - sentAt) - expectedDelay;
    expectedHeartbeatDelay = HeartbeatPacing::limitAnnouncedDelay(heartbeat->nextDelay, timing.heartbeatDelay);
    heartbeatGracePeriod = HeartbeatPacing::computeGracePeriod(std::max(heartbeat->loopDelay, lateness),
                                                               timing.heartbeatGracePeriod);
    const bool isOwnerSmall = heartbeat->processorShare < largeMachineShare && ownerShare(settings) >= largeMachineShare;
    if (isOwnerSmall && heartbeat->isReady && !isTakeoverDisabled) {
        // The owner runs on a small machine, because no larger one was available when it took over: take over from it.
        allowTakeover(owner.token);
        runAfter(jitter(), &Impl::findOwner);
    }
    if (heartbeat->storeStallDuration < timing.storeStallLimit) {
        successfulStoreProbes = 0;
    } else if (!isTakeoverDisabled) {
        probeStore();
    }
    requestHeartbeat();
}

void Leadership::Impl::onHeartbeatLost(bool isNotOwner, bool isRefused, const std::string &why)
{
    const bool wasOwnerResponding = std::exchange(isOwnerResponding, false);
    if (wasOwnerResponding) {
        EventLog::write("owner.silent", { { "owner", owner.owner }, { "token", owner.token }, { "why", why } });
    }
    if (isNotOwner) {
        // It has released or lost the ownership, and the epoch row shows who is next, or it does not know that the row names it.
        if (!deniedOwnership || deniedOwnership->token != owner.token) {
            deniedOwnership = DeniedOwnership { owner.token, loop.now(), 0 };
        }
        runAfter(Milliseconds(10) + jitter(), &Impl::findOwner);
        return;
    }
    if (unheardOwner) {
        verifyUnheardOwnerFailure(isRefused);
    } else {
        verifyOwnerFailure();
    }
}

Leadership::Leadership(EventLoop &loop, StateStore &store, const EntrySettings &settings, LeadershipTiming timing, Hooks hooks)
    : impl_(std::make_shared<Impl>(loop, store, settings, timing, std::move(hooks)))
{
}

Leadership::~Leadership()
{
    impl_->isClosed = true;
}

void Leadership::start()
{
    impl_->loopDelayMeter.start();
    impl_->findOwner();
}

void Leadership::stepDown()
{
    impl_->isOwner = false;
    impl_->owner = {};
    impl_->runAfter(impl_->jitter(), &Impl::findOwner);
}

void Leadership::release(const Ownership &ownership, std::function<void()> done)
{
    impl_->isTakeoverDisabled = true;
    const auto successor = impl_->chooseSuccessor();
    StoreChange change;
    change.expected.push_back({ FencingRows::table, FencingRows::epochKey, ownership.epochVersion });
    const EpochRow vacant { ownership.token, {}, successor ? successor->text() : std::string() };
    change.writes.push_back({ FencingRows::table, FencingRows::epochKey, vacant.toText() });
    impl_->store.commit(std::move(change),
                        [impl = impl_, token = ownership.token, successor, done = std::move(done)](const StoreResult &result) {
                            EventLog::write("owner.released",
                                            { { "outcome", name(result.outcome) },
                                              { "successor", successor ? successor->text() : std::string() } });
                            if (successor && result.outcome == StoreOutcome::Done) {
                                impl->callSuccessor(*successor, token);
                            }
                            impl->isOwner = false;
                            impl->owner = {};
                            done();
                            impl->runAfter(impl->timing.retryDelay, &Impl::findOwner);
                        });
}

void Leadership::succeed(std::int64_t token)
{
    if (impl_->isOwner || impl_->isTakeoverDisabled || impl_->owner.token != token) {
        return;
    }
    EventLog::write("owner.named", { { "token", token } });
    impl_->isOwnerResponding = false;
    // The answer to the open request comes from a process that is the owner no longer.
    ++impl_->heartbeatRound;
    impl_->findOwner();
}

void Leadership::disableTakeover()
{
    impl_->isTakeoverDisabled = true;
}

std::optional<Address> Leadership::ownerAddress() const
{
    return impl_->isOwnerResponding ? Address::parse(impl_->owner.address) : std::nullopt;
}

bool Leadership::isOwnerReady() const
{
    return impl_->isOwnerResponding && impl_->isOwnerReady;
}

} // namespace auburndoor
