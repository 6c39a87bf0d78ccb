#include "dispatch/CommitQueue.h"
#include "entry/LeadershipImpl.h"
#include "observability/EventLog.h"

namespace auburndoor {

namespace {

constexpr int processesAsked = 3;
// One answer may come from a store that has just come back for all.
constexpr int probesToReplace = 2;
// The store is slow for all, and the owner has not lost it, unless it answers this many times faster than the owner has waited.
constexpr int fasterThanOwner = 3;

} // namespace

void Leadership::Impl::probeStore()
{
    // If the store answers this process and still not the owner, it is the owner alone that has lost it. One answer is not enough:
    // the store may just have come back for all.
    store.readRow(FencingRows::table,
                  FencingRows::epochKey,
                  [self = shared_from_this(), probed = owner.token, askedAt = loop.now()](const StoreResult &result) {
                      if (self->isClosed || self->isOwner || self->owner.token != probed) {
                          return;
                      }
                      const bool isFast = (self->loop.now() - askedAt) * fasterThanOwner < self->ownerStoreAway;
                      self->storeProbes = result.outcome == StoreOutcome::Done && isFast ? self->storeProbes + 1 : 0;
                      if (self->storeProbes >= probesToReplace) {
                          EventLog::write("owner.without_store", { { "owner", self->owner.owner }, { "token", probed } });
                          self->storeProbes = 0;
                          self->givenUpToken = probed;
                          self->findOwner();
                      }
                  });
}

void Leadership::Impl::askOthers(std::function<void(const std::vector<OwnerSighting> &)> done)
{
    std::vector<Address> others;
    for (const auto &member : knownMembers) {
        if (member != settings.peers && member.text() != owner.address) {
            others.push_back(member);
        }
    }
    std::shuffle(others.begin(), others.end(), random);
    others.resize(std::min<std::size_t>(others.size(), processesAsked));
    if (others.empty()) {
        done({});
        return;
    }
    struct Round
    {
        std::size_t open = 0;
        std::vector<OwnerSighting> sightings;
        std::vector<std::shared_ptr<HttpChannels>> channels;
    };
    auto asked = std::make_shared<Round>();
    asked->open = others.size();
    const HttpChannelLimits limits { .maxConnections = 1, .connectTimeout = times.suspicionTimeout };
    for (const auto &address : others) {
        auto channel = asked->channels.emplace_back(std::make_shared<HttpChannels>(loop, address, limits));
        WebRequest request { "GET", PeerCodec::sightingPath, {}, {}, true };
        channel->send(std::move(request), times.suspicionTimeout, [self = shared_from_this(), asked, done](const SendResult &sent) {
            if (const auto sighting = sent.hasStatus(200) ? PeerCodec::readSighting(sent.reply) : std::nullopt) {
                asked->sightings.push_back(*sighting);
            }
            if (--asked->open == 0 && !self->isClosed && !self->isOwner) {
                // Not from within a callback of the channels, which go with the round.
                self->loop.after(Milliseconds(0), [asked, done] { done(asked->sightings); });
            }
        });
    }
}

bool Leadership::Impl::followNewest(const std::vector<OwnerSighting> &sightings)
{
    const OwnerSighting *newest = nullptr;
    for (const auto &sighting : sightings) {
        if (sighting.hearsOwner && sighting.token > owner.token && (newest == nullptr || sighting.token > newest->token)) {
            newest = &sighting;
        }
    }
    if (newest != nullptr) {
        follow({ newest->token, newest->owner, newest->address });
    }
    return newest != nullptr;
}

void Leadership::Impl::confirmSuspicion()
{
    askOthers([self = shared_from_this(), suspected = owner.token](const std::vector<OwnerSighting> &sightings) {
        if (self->owner.token != suspected || self->isHeard || self->followNewest(sightings)) {
            return;
        }
        const bool isHeardByOthers = std::any_of(
            sightings.begin(), sightings.end(), [](const auto &sighting) { return sighting.hearsOwner; });
        const bool isAlone = sightings.empty() && !self->knownMembers.empty();
        if (isHeardByOthers) {
            // The owner lives, and this process is cut off from it.
            self->later(self->times.retry, &Impl::findOwner);
        } else if (isAlone) {
            self->later(self->times.isolationWait, &Impl::giveUpOwner);
        } else {
            self->giveUpOwner();
        }
    });
}

void Leadership::Impl::giveUpOwner()
{
    if (!isHeard && !isOwner) {
        givenUpToken = std::max(givenUpToken, owner.token);
    }
    later(spread(), &Impl::findOwner);
}

} // namespace auburndoor
