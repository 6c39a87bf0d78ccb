#include "entry/HeartbeatPacing.h"
#include "entry/LeadershipImpl.h"
#include "observability/EventLog.h"

#include <utility>

namespace auburndoor {

namespace {

// An entry process that has sent no heartbeat request for this long is no longer listed as a member.
constexpr Milliseconds memberTimeout { 2000 };
// The owner of a large cell sends hundreds of heartbeats a second, each with some of the members.
constexpr Milliseconds memberListInterval { 100 };
// A new owner reads the reports of all workers. Until that shows in the measured delay, its heartbeats report this one.
constexpr Milliseconds recoveryDuration { 3000 };
constexpr Milliseconds recoveryLoopDelay { 500 };

} // namespace

Milliseconds Leadership::Impl::reportedLoopDelay() const
{
    const bool isRecovering = loop.now() - wonAt < recoveryDuration;
    return std::max(loopDelayMeter.recentDelay(), isRecovering ? recoveryLoopDelay : Milliseconds(0));
}

std::optional<OwnerHeartbeat> Leadership::Impl::makeHeartbeat(const Address &follower)
{
    auto heartbeat = hooks.ownHeartbeat();
    if (heartbeat) {
        heartbeat->loopDelay = reportedLoopDelay();
        heartbeat->nextDelay = HeartbeatPacing::computeDelay(followers.size(), timing.heartbeatDelay);
        heartbeat->members = HeartbeatPacing::sampleMembers(recentMembers(), random);
        followers[follower].announcedDelay = heartbeat->nextDelay;
        if (!heartbeat->members.empty()) {
            knownMembers = heartbeat->members;
        }
    }
    return heartbeat;
}

std::string Leadership::describeElection() const
{
    if (impl_->takeoverSentAt) {
        const auto waiting = std::chrono::duration_cast<Milliseconds>(impl_->loop.now() - *impl_->takeoverSentAt);
        return "it does not know whether it owns the cell; the store has not answered its takeover for "
               + std::to_string(waiting.count()) + " ms";
    }
    return "it does not own the cell; the last owner that it knows has the token " + std::to_string(impl_->owner.token);
}

void Leadership::answerHeartbeat(const WebRequest &request, HttpResponderPointer responder)
{
    const auto report = PeerCodec::readHeartbeatRequest(request);
    if (!impl_->hooks.ownHeartbeat() || !report) {
        responder->reply({ PeerCodec::notOwnerStatus, {}, {} });
        return;
    }
    auto &follower = impl_->followers[report->address];
    follower.requestedAt = impl_->loop.now();
    follower.processorShare = report->processorShare;
    follower.isStopping = report->isStopping;
    follower.desiredStateVersion = report->desiredStateVersion;
    impl_->reportNewerState(report->desiredStateVersion);
    // A process that has just begun to follow this owner is answered at once, so that it can forward calls.
    const bool isNew = request.target.ends_with(PeerCodec::firstHeartbeatQuery);
    if (isNew) {
        follower.followsSince = follower.requestedAt;
    }
    const auto delay = isNew ? Milliseconds(0) : std::max(impl_->timing.heartbeatDelay, follower.announcedDelay);
    impl_->loop.after(delay, [impl = impl_, responder = std::move(responder), from = report->address] {
        const auto heartbeat = impl->isClosed ? std::nullopt : impl->makeHeartbeat(from);
        responder->reply(heartbeat ? PeerCodec::heartbeatReply(*heartbeat) : WebReply { PeerCodec::notOwnerStatus, {}, {} });
    });
}

void Leadership::answerOwnerView(HttpResponderPointer responder) const
{
    const bool isReachable = impl_->isOwnerResponding || impl_->isOwner;
    responder->reply(PeerCodec::ownerViewReply({ isReachable, impl_->owner.owner, impl_->owner.token, impl_->owner.address }));
}

std::optional<Address> Leadership::Impl::chooseSuccessor() const
{
    const Address *chosen = nullptr;
    const Follower *best = nullptr;
    const auto isLarge = [](const Follower &follower) { return follower.processorShare >= largeMachineShare; };
    for (const auto &[address, follower] : followers) {
        if (follower.isStopping || loop.now() - follower.requestedAt > memberTimeout) {
            continue;
        }
        // While processes are restarted in turn, the one that has been restarted last is stopped last.
        if (best == nullptr
            || std::pair(isLarge(follower), follower.followsSince) > std::pair(isLarge(*best), best->followsSince)) {
            chosen = &address;
            best = &follower;
        }
    }
    return chosen == nullptr ? std::nullopt : std::optional(*chosen);
}

void Leadership::Impl::callSuccessor(const Address &successor, std::int64_t token)
{
    successorChannel = std::make_unique<HttpChannels>(
        loop, successor, HttpChannelLimits { .maxConnections = 1, .connectTimeout = timing.peerQueryTimeout });
    successorChannel->send(PeerCodec::successionRequest(token), timing.peerQueryTimeout, [token](const SendResult &sent) {
        if (!sent.hasStatus(200)) {
            // It learns from its next heartbeat request.
            EventLog::write("owner.successor_uninformed", { { "token", token }, { "detail", sent.error } });
        }
    });
}

const std::vector<Address> &Leadership::Impl::recentMembers()
{
    const auto now = loop.now();
    if (now - membersListedAt < memberListInterval) {
        return listedMembers;
    }
    membersListedAt = now;
    std::erase_if(followers, [now](const auto &entry) { return now - entry.second.requestedAt > memberTimeout; });
    listedMembers.clear();
    for (const auto &[address, follower] : followers) {
        listedMembers.push_back(address);
    }
    return listedMembers;
}

void Leadership::Impl::reportNewerState(std::int64_t version) const
{
    if (hooks.onNewerStateKnown && hooks.desiredStateVersion && version > hooks.desiredStateVersion()) {
        hooks.onNewerStateKnown();
    }
}

std::pair<std::int64_t, std::optional<Address>> Leadership::Impl::newestState() const
{
    if (!isOwner) {
        return isOwnerResponding ? std::pair(desiredStateVersion, Address::parse(owner.address))
                                 : std::pair(std::int64_t(0), std::optional<Address>());
    }
    std::pair<std::int64_t, std::optional<Address>> newest { 0, std::nullopt };
    for (const auto &[address, follower] : followers) {
        if (follower.desiredStateVersion > newest.first && loop.now() - follower.requestedAt <= memberTimeout) {
            newest = { follower.desiredStateVersion, address };
        }
    }
    return newest;
}

std::optional<Address> Leadership::holderOfNewerState(std::int64_t version) const
{
    const auto newest = impl_->newestState();
    return newest.first > version ? newest.second : std::nullopt;
}

std::int64_t Leadership::newestKnownState() const
{
    return impl_->newestState().first;
}

std::vector<Address> Leadership::members() const
{
    return impl_->recentMembers();
}

} // namespace auburndoor
