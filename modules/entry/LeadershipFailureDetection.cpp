#include "dispatch/CommitQueue.h"
#include "entry/LeadershipImpl.h"
#include "observability/EventLog.h"

namespace auburndoor {

namespace {

constexpr int maxPeersQueried = 3;
// So many successive fast answers of the store are needed to replace the owner; one may mean that the store has just recovered for
// all.
constexpr int probesBeforeReplacement = 2;
// The store counts as slow for everyone unless it answers this process this many times faster than the owner has been waiting.
constexpr int minStoreSpeedRatio = 3;
// A process whose listener is not open yet, or that has just restarted, refuses connections for a moment.
constexpr int refusalsBeforeReplacement = 2;

} // namespace

void Leadership::Impl::probeStore()
{
    // If the store answers this process but still not the owner, only the owner has lost it. probesBeforeReplacement successive
    // answers are required, since the store may just have recovered for all. A table that the owner cannot read may be away for all
    // as well, so that reading another one would tell nothing.
    store.readRow(ownerStalledTable.empty() ? FencingRows::table : ownerStalledTable,
                  FencingRows::epochKey,
                  [self = shared_from_this(), probedToken = owner.token, sentAt = loop.now()](const StoreResult &result) {
                      if (self->isClosed || self->isOwner || self->owner.token != probedToken) {
                          return;
                      }
                      const bool isFast = (self->loop.now() - sentAt) * minStoreSpeedRatio < self->ownerStoreStallDuration;
                      self->successfulStoreProbes = result.outcome == StoreOutcome::Done && isFast ? self->successfulStoreProbes + 1
                                                                                                   : 0;
                      if (self->successfulStoreProbes >= probesBeforeReplacement) {
                          EventLog::write("owner.without_store",
                                          { { "owner", self->owner.owner },
                                            { "token", probedToken },
                                            { "stalled_ms", self->ownerStoreStallDuration.count() },
                                            { "table", self->ownerStalledTable } });
                          self->successfulStoreProbes = 0;
                          self->allowTakeover(probedToken);
                          self->findOwner();
                      }
                  });
}

void Leadership::Impl::verifyDenial(const EpochRow &row, TimePoint sentAt)
{
    if (!deniedOwnership || deniedOwnership->token != row.token) {
        return;
    }
    // While the store is slow for all, a winner learns late that it has won; others can read the row before.
    const auto now = loop.now();
    const auto denied = now - deniedOwnership->since;
    if ((now - sentAt) * minStoreSpeedRatio >= denied) {
        deniedOwnership->readings = 0;
        return;
    }
    if (denied >= timing.storeStallLimit && ++deniedOwnership->readings >= probesBeforeReplacement) {
        EventLog::write("owner.unaware",
                        { { "owner", row.owner },
                          { "token", row.token },
                          { "denied_ms", std::chrono::duration_cast<Milliseconds>(denied).count() } });
        allowTakeover(row.token);
    }
}

void Leadership::Impl::readOwnerProgress(std::function<void(const StoreResult &)> done)
{
    store.readRow(FencingRows::table,
                  FencingRows::sequenceKey,
                  [self = shared_from_this(), readToken = owner.token, done = std::move(done)](const StoreResult &result) {
                      if (!self->isClosed && !self->isOwner && self->unheardOwner && self->owner.token == readToken) {
                          done(result);
                      }
                  });
}

void Leadership::Impl::noteOwnerProgress(const StoreResult &result)
{
    if (result.outcome != StoreOutcome::Done) {
        return;
    }
    const std::int64_t version = result.rows.empty() ? 0 : result.rows.front().version;
    if (unheardOwner->sequenceVersion && *unheardOwner->sequenceVersion != version) {
        unheardOwner->unchangedSince = loop.now();
    }
    unheardOwner->sequenceVersion = version;
}

void Leadership::Impl::verifyUnheardOwnerFailure(bool isRefused)
{
    unheardOwner->refusals = isRefused ? unheardOwner->refusals + 1 : 0;
    if (unheardOwner->refusals >= refusalsBeforeReplacement) {
        verifyOwnerFailure();
        return;
    }
    if (isRefused) {
        runAfter(timing.retryDelay, &Impl::findOwner);
        return;
    }
    readOwnerProgress([this](const StoreResult &result) {
        // Without a version from before there is nothing to compare with.
        const bool isComparable = unheardOwner->sequenceVersion && result.outcome == StoreOutcome::Done;
        noteOwnerProgress(result);
        if (isComparable && loop.now() - unheardOwner->unchangedSince >= timing.unheardOwnerTimeout) {
            EventLog::write("owner.unheard",
                            { { "owner", owner.owner },
                              { "token", owner.token },
                              { "unchanged_ms",
                                std::chrono::duration_cast<Milliseconds>(loop.now() - unheardOwner->unchangedSince).count() } });
            verifyOwnerFailure();
        } else {
            runAfter(timing.retryDelay + jitter(), &Impl::findOwner);
        }
    });
}

void Leadership::Impl::queryPeers(std::function<void(const std::vector<OwnerView> &)> done)
{
    std::vector<Address> peerAddresses;
    for (const auto &member : knownMembers) {
        if (member != settings.peers && member.text() != owner.address) {
            peerAddresses.push_back(member);
        }
    }
    std::shuffle(peerAddresses.begin(), peerAddresses.end(), random);
    peerAddresses.resize(std::min<std::size_t>(peerAddresses.size(), maxPeersQueried));
    if (peerAddresses.empty()) {
        done({});
        return;
    }
    struct PeerQuery
    {
        std::size_t openRequests = 0;
        std::vector<OwnerView> views;
        std::vector<std::shared_ptr<HttpChannels>> channels;
    };
    auto query = std::make_shared<PeerQuery>();
    query->openRequests = peerAddresses.size();
    const HttpChannelLimits limits { .maxConnections = 1, .connectTimeout = timing.peerQueryTimeout };
    for (const auto &address : peerAddresses) {
        auto channel = query->channels.emplace_back(std::make_shared<HttpChannels>(loop, address, limits));
        WebRequest request { "GET", PeerCodec::ownerViewPath, {}, {}, true };
        channel->send(
            std::move(request), timing.peerQueryTimeout, [self = shared_from_this(), query, done](const SendResult &sent) {
                if (const auto view = sent.hasStatus(200) ? PeerCodec::readOwnerView(sent.reply) : std::nullopt) {
                    query->views.push_back(*view);
                }
                if (--query->openRequests == 0 && !self->isClosed) {
                    // Deferred, because destroying the query destroys the channels, and this runs in a callback of one of them.
                    self->loop.after(Milliseconds(0), [query, done] { done(query->views); });
                }
            });
    }
}

void Leadership::Impl::watchForSuccessor(std::int64_t token)
{
    if (isClosed || !isOwner || owner.token != token) {
        return;
    }
    loop.after(timing.successorCheckInterval, [self = shared_from_this(), token] { self->watchForSuccessor(token); });
    const auto heartbeat = hooks.ownHeartbeat();
    if (!heartbeat || heartbeat->storeStallDuration < timing.storeStallLimit) {
        return;
    }
    queryPeers([self = shared_from_this(), token](const std::vector<OwnerView> &views) {
        const auto later = std::find_if(views.begin(), views.end(), [token](const auto &view) { return view.token > token; });
        if (later == views.end() || !self->isOwner || self->owner.token != token) {
            return;
        }
        EventLog::write("owner.deposed",
                        { { "token", token },
                          { "by", "another process" },
                          { "successor", later->owner },
                          { "successor_token", later->token } });
        if (self->hooks.onSuccessorKnown) {
            self->hooks.onSuccessorKnown();
        }
    });
}

bool Leadership::Impl::followNewestOwner(const std::vector<OwnerView> &views)
{
    const OwnerView *newest = nullptr;
    for (const auto &view : views) {
        if (view.isOwnerReachable && view.token > owner.token && (newest == nullptr || view.token > newest->token)) {
            newest = &view;
        }
    }
    if (newest != nullptr) {
        follow({ newest->token, newest->owner, newest->address });
    }
    return newest != nullptr;
}

void Leadership::Impl::verifyOwnerFailure()
{
    queryPeers([self = shared_from_this(), suspectedToken = owner.token](const std::vector<OwnerView> &views) {
        if (self->owner.token != suspectedToken || self->isOwnerResponding || self->followNewestOwner(views)) {
            return;
        }
        const bool isReachableByPeers = std::any_of(
            views.begin(), views.end(), [](const auto &view) { return view.isOwnerReachable; });
        const bool isIsolated = views.empty() && !self->knownMembers.empty();
        if (isReachableByPeers) {
            // The owner is alive; only this process does not reach it.
            self->runAfter(self->timing.retryDelay, &Impl::findOwner);
        } else if (isIsolated) {
            self->runAfter(self->timing.isolationWait, &Impl::giveUpOwner);
        } else {
            self->giveUpOwner();
        }
    });
}

void Leadership::Impl::giveUpOwner()
{
    if (!isOwnerResponding && !isOwner) {
        allowTakeover(owner.token);
    }
    runAfter(jitter(), &Impl::findOwner);
}

void Leadership::Impl::allowTakeover(std::int64_t token)
{
    replaceableToken = std::max(replaceableToken, token);
    replaceableSince = loop.now();
}

bool Leadership::Impl::mayReplace(const EpochRow &row) const
{
    return row.token <= replaceableToken && loop.now() - replaceableSince <= timing.judgementLifetime;
}

} // namespace auburndoor
