#include "entry/Leadership.h"

#include "dispatch/CommitQueue.h"
#include "entry/LeadershipImpl.h"
#include "observability/EventLog.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace auburndoor {

namespace {

// An entry process that has not asked for a pulse for so long is no longer named as a member.
constexpr Milliseconds memberMemory { 2000 };
// The owner of the grown cell needs more than the smallest machines have; where all are small, they differ by the spread only.
constexpr double preferredShare = 0.2;
constexpr Milliseconds smallMachineDelay { 500 };

std::string writeEpoch(const EpochRow &row)
{
    return nlohmann::json { { "token", row.token }, { "owner", row.owner }, { "address", row.address } }.dump();
}

EpochRow readEpoch(const std::string &text)
{
    EpochRow row;
    const auto json = nlohmann::json::parse(text, nullptr, false);
    try {
        row.token = json.at("token").get<std::int64_t>();
        row.owner = json.at("owner").get<std::string>();
        row.address = json.at("address").get<std::string>();
    } catch (const nlohmann::json::exception &) {
        EventLog::write("record.unreadable", { { "table", FencingRows::table } });
    }
    return row;
}

} // namespace

Milliseconds Leadership::Impl::spread()
{
    return Milliseconds(std::uniform_int_distribution<Milliseconds::rep>(0, times.spread.count())(random));
}

void Leadership::Impl::later(Milliseconds delay, void (Impl::*action)())
{
    loop.after(delay, [self = shared_from_this(), action] {
        if (!self->isClosed) {
            ((*self).*action)();
        }
    });
}

void Leadership::Impl::findOwner()
{
    if (isOwner || isFinding) {
        return;
    }
    isFinding = true;
    store.readRow(FencingRows::table, FencingRows::epochKey, [self = shared_from_this()](const StoreResult &result) {
        if (!self->isClosed) {
            self->isFinding = false;
            self->onEpoch(result);
        }
    });
}

void Leadership::Impl::onEpoch(const StoreResult &result)
{
    if (isOwner) {
        return;
    }
    if (result.outcome != StoreOutcome::Done) {
        // The store may turn away this process alone: the others know the owner.
        askOthers([self = shared_from_this()](const std::vector<OwnerSighting> &sightings) {
            if (!self->isHeard && !self->followNewest(sightings)) {
                self->later(self->times.retry + self->spread(), &Impl::findOwner);
            }
        });
        return;
    }
    const auto row = result.rows.empty() ? EpochRow() : readEpoch(result.rows.front().value);
    const auto version = result.rows.empty() ? 0 : result.rows.front().version;
    const bool isVacant = row.owner.empty() || row.owner == settings.nodeName;
    if (isVacant || row.token <= givenUpToken) {
        const bool isSmall = settings.processorShare < preferredShare;
        if (!isAbstaining && isSmall && std::exchange(deferredToken, row.token) != row.token) {
            // The owner has most of the work: a larger machine is to be first.
            later(smallMachineDelay, &Impl::findOwner);
        } else if (!isAbstaining) {
            takeOver(row, version);
        } else {
            later(times.retry + spread(), &Impl::findOwner);
        }
        return;
    }
    follow(row);
}

void Leadership::Impl::takeOver(const EpochRow &row, std::int64_t version)
{
    EventLog::write("owner.attempt", { { "token", row.token + 1 }, { "instead_of", row.owner } });
    const EpochRow next { row.token + 1, settings.nodeName, settings.peers.text() };
    StoreChange change;
    change.expected.push_back({ FencingRows::table, FencingRows::epochKey, version });
    change.writes.push_back({ FencingRows::table, FencingRows::epochKey, writeEpoch(next) });
    isFinding = true;
    store.commit(std::move(change), [self = shared_from_this(), token = next.token](const StoreResult &result) {
        if (!self->isClosed) {
            self->isFinding = false;
            self->onTakeOver(result, token);
        }
    });
}

void Leadership::Impl::onTakeOver(const StoreResult &result, std::int64_t token)
{
    if (result.outcome == StoreOutcome::Done) {
        readSequence(token, result.version);
        return;
    }
    // After a lost answer the row tells whether the attempt was applied: then it names this process, and is replaced once more.
    later(result.outcome == StoreOutcome::Conflict ? Milliseconds(0) : times.retry + spread(), &Impl::findOwner);
}

void Leadership::Impl::readSequence(std::int64_t token, std::int64_t epochVersion)
{
    isFinding = true;
    store.readRow(
        FencingRows::table, FencingRows::sequenceKey, [self = shared_from_this(), token, epochVersion](const StoreResult &result) {
            if (self->isClosed) {
                return;
            }
            self->isFinding = false;
            if (result.outcome != StoreOutcome::Done) {
                self->loop.after(self->times.retry, [self, token, epochVersion] {
                    if (!self->isClosed) {
                        self->readSequence(token, epochVersion);
                    }
                });
                return;
            }
            self->isOwner = true;
            self->isHeard = false;
            ++self->round;
            self->owner = { token, self->settings.nodeName, self->settings.peers.text() };
            self->pulses.reset();
            EventLog::write("owner.won", { { "token", token } });
            self->hooks.won({ token, epochVersion, result.rows.empty() ? 0 : result.rows.front().version });
        });
}

void Leadership::Impl::follow(const EpochRow &row)
{
    const auto address = Address::parse(row.address);
    if (!address) {
        givenUpToken = row.token;
        later(times.retry, &Impl::findOwner);
        return;
    }
    if (row.token != owner.token || !pulses) {
        EventLog::write("owner.followed", { { "owner", row.owner }, { "token", row.token } });
        owner = row;
        pulses = std::make_unique<HttpChannels>(
            loop, *address, HttpChannelLimits { .maxConnections = 1, .connectTimeout = Milliseconds(400) });
    }
    ++round;
    sendPulse();
}

void Leadership::Impl::sendPulse()
{
    if (isOwner || !pulses) {
        return;
    }
    auto request = PeerCodec::pulseRequest(settings.peers);
    if (!isHeard) {
        request.target += PeerCodec::firstPulseQuery;
    }
    pulses->send(std::move(request),
                 times.pulseWait + times.pulseSlack,
                 [self = shared_from_this(), sentRound = round](const SendResult &sent) {
                     if (!self->isClosed) {
                         self->onPulse(sent, sentRound);
                     }
                 });
}

void Leadership::Impl::onPulse(const SendResult &sent, std::uint64_t sentRound)
{
    if (sentRound != round || isOwner) {
        return;
    }
    const auto pulse = sent.hasStatus(200) ? PeerCodec::readPulse(sent.reply) : std::nullopt;
    if (!pulse || pulse->token != owner.token) {
        const bool isNotOwner = sent.outcome == SendOutcome::Answered;
        onPulseLost(isNotOwner, isNotOwner ? "it is not the owner" : sent.error);
        return;
    }
    isHeard = true;
    knownMembers = pulse->members;
    desiredVersion = pulse->desiredVersion;
    ownerStoreAway = pulse->storeAway;
    const bool isOwnerSmall = pulse->processorShare < preferredShare && settings.processorShare >= preferredShare;
    if (isOwnerSmall && pulse->isReady && !isAbstaining) {
        // A small machine owns the cell because the larger ones were away: one of them takes over again.
        givenUpToken = owner.token;
        later(spread(), &Impl::findOwner);
    }
    if (pulse->storeAway < times.storeAwayLimit) {
        storeProbes = 0;
    } else if (!isAbstaining) {
        probeStore();
    }
    sendPulse();
}

void Leadership::Impl::onPulseLost(bool isNotOwner, const std::string &why)
{
    const bool wasHeard = std::exchange(isHeard, false);
    if (wasHeard) {
        EventLog::write("owner.silent", { { "owner", owner.owner }, { "token", owner.token }, { "why", why } });
    }
    if (isNotOwner) {
        // It has released the cell or lost it: the row tells.
        later(Milliseconds(10) + spread(), &Impl::findOwner);
        return;
    }
    confirmSuspicion();
}

Leadership::Leadership(EventLoop &loop, StateStore &store, const EntrySettings &settings, LeadershipTimes times, Hooks hooks)
    : impl_(std::make_shared<Impl>(loop, store, settings, times, std::move(hooks)))
{
}

Leadership::~Leadership()
{
    impl_->isClosed = true;
}

void Leadership::start()
{
    impl_->findOwner();
}

void Leadership::stepDown()
{
    impl_->isOwner = false;
    impl_->owner = {};
    impl_->later(impl_->spread(), &Impl::findOwner);
}

void Leadership::release(const Ownership &ownership, std::function<void()> done)
{
    impl_->isAbstaining = true;
    StoreChange change;
    change.expected.push_back({ FencingRows::table, FencingRows::epochKey, ownership.epochVersion });
    change.writes.push_back({ FencingRows::table, FencingRows::epochKey, writeEpoch({ ownership.token, {}, {} }) });
    impl_->store.commit(std::move(change), [impl = impl_, done = std::move(done)](const StoreResult &result) {
        EventLog::write("owner.released", { { "outcome", name(result.outcome) } });
        impl->isOwner = false;
        impl->owner = {};
        done();
        impl->later(impl->times.retry, &Impl::findOwner);
    });
}

void Leadership::abstain()
{
    impl_->isAbstaining = true;
}

std::optional<Address> Leadership::ownerAddress() const
{
    return impl_->isHeard ? Address::parse(impl_->owner.address) : std::nullopt;
}

void Leadership::answerPulse(const WebRequest &request, HttpResponderPointer responder)
{
    const auto from = PeerCodec::readPulseRequest(request);
    if (!impl_->hooks.ownPulse() || !from) {
        responder->reply({ PeerCodec::notOwnerStatus, {}, {} });
        return;
    }
    impl_->members[*from] = impl_->loop.now();
    // A process that has just begun to follow is answered at once, so that it knows where calls go.
    const bool isNew = request.target.ends_with(PeerCodec::firstPulseQuery);
    impl_->loop.after(isNew ? Milliseconds(0) : impl_->times.pulseWait, [impl = impl_, responder = std::move(responder)] {
        const auto pulse = impl->isClosed ? std::nullopt : impl->hooks.ownPulse();
        responder->reply(pulse ? PeerCodec::pulseReply(*pulse) : WebReply { PeerCodec::notOwnerStatus, {}, {} });
    });
}

void Leadership::answerSighting(HttpResponderPointer responder) const
{
    const bool hears = impl_->isHeard || impl_->isOwner;
    responder->reply(PeerCodec::sightingReply({ hears, impl_->owner.owner, impl_->owner.token, impl_->owner.address }));
}

std::vector<Address> Leadership::members() const
{
    std::vector<Address> result;
    const auto now = impl_->loop.now();
    std::erase_if(impl_->members, [now](const auto &member) { return now - member.second > memberMemory; });
    for (const auto &[address, heardAt] : impl_->members) {
        result.push_back(address);
    }
    return result;
}

std::int64_t Leadership::desiredVersionOfOwner() const
{
    return impl_->desiredVersion;
}

} // namespace auburndoor
