#include "membership/MembershipView.h"

#include "core/RandomId.h"
#include "observability/Log.h"
#include "observability/Metrics.h"

#include <algorithm>

namespace auburndoor {

MembershipView::MembershipView(const Member &self,
                               PeerFactory factory,
                               const MembershipTiming &timing,
                               Clock &clock,
                               Metrics &metrics)
    : factory_(std::move(factory)), timing_(timing), clock_(clock), metrics_(metrics), self_(self)
{
    self_.summary.sequence = std::max(1LL, self_.summary.sequence);
}

Member MembershipView::self() const
{
    const std::lock_guard lock(mutex_);
    return self_;
}

void MembershipView::setPools(const std::vector<PoolSummary> &pools)
{
    changeSelf([&](Member &self) {
        const auto isEqual = [](const PoolSummary &left, const PoolSummary &right) {
            return left.service == right.service && left.freePlaces == right.freePlaces && left.queued == right.queued;
        };
        const auto &currentPools = self.summary.pools;
        if (std::equal(pools.begin(), pools.end(), currentPools.begin(), currentPools.end(), isEqual)) {
            return false;
        }
        self.summary.pools = pools;
        return true;
    });
}

void MembershipView::setConfigurationVersion(long long version)
{
    changeSelf([&](Member &self) { return std::exchange(self.configurationVersion, version) != version; });
}

void MembershipView::setLeaving()
{
    changeSelf([](Member &self) { return !std::exchange(self.isLeaving, true); });
}

void MembershipView::changeSelf(const std::function<bool(Member &)> &change)
{
    {
        const std::lock_guard lock(mutex_);
        if (!change(self_)) {
            return;
        }
        // Peers drop messages with a lower sequence, so that a late message cannot restore an older value of any field.
        ++self_.summary.sequence;
        ++revision_;
    }
    notifyChangeListener();
}

void MembershipView::notifyChangeListener()
{
    const std::lock_guard lock(listenerMutex_);
    if (changeListener_) {
        changeListener_();
    }
}

long long MembershipView::revision() const
{
    const std::lock_guard lock(mutex_);
    return revision_;
}

void MembershipView::setChangeListener(std::function<void()> listener)
{
    const std::lock_guard lock(listenerMutex_);
    changeListener_ = std::move(listener);
}

Member MembershipView::receive(const Member &sender)
{
    const std::lock_guard lock(mutex_);
    if (accept(sender)) {
        auto &entry = entries_.at(sender.id);
        entry.lastDeliveryTime = clock_.now();
        entry.deliveredRevision = revision_;
    }
    return self_;
}

bool MembershipView::update(const Member &member)
{
    const std::lock_guard lock(mutex_);
    return accept(member);
}

bool MembershipView::accept(const Member &member)
{
    if (member.id == self_.id || member.id.isEmpty()) {
        metrics_.count("heartbeats_dropped_total", "own-id");
        return false;
    }
    auto *entry = findOrCreateEntry(member);
    if (entry == nullptr) {
        metrics_.count("heartbeats_dropped_total", "old-incarnation");
        return false;
    }
    const auto now = clock_.now();
    const auto knownSequence = entry->member.summary.sequence;
    if (member.summary.sequence < knownSequence) {
        metrics_.count("heartbeats_dropped_total", "old-summary");
        return false;
    }
    if (member.summary.sequence > knownSequence || now - timing_.claimLifetime >= entry->lastClaimTime) {
        entry->claims.clear();
    }
    entry->member = member;
    entry->member.lastHeard = now;
    entry->hasBeenHeard = true;
    return true;
}

/** Returns the entry of the member's process, creating or replacing it if needed; null if a later process is known. */
MembershipView::Entry *MembershipView::findOrCreateEntry(const Member &member)
{
    const auto found = entries_.find(member.id);
    if (found != entries_.end() && member.incarnation < found->second.member.incarnation) {
        return nullptr;
    }
    if (found != entries_.end() && member.incarnation == found->second.member.incarnation
        && member.peerAddress == found->second.member.peerAddress) {
        return &found->second;
    }
    Log::info("member-discovered",
              { { "member", member.id.text() },
                { "incarnation", std::to_string(member.incarnation) },
                { "address", member.peerAddress } });
    auto &entry = entries_[member.id];
    entry = Entry();
    entry.member = member;
    entry.member.summary = LoadSummary();
    entry.peer = factory_(member);
    return &entry;
}

void MembershipView::recordDelivery(const InstanceId &member, long long revision)
{
    const std::lock_guard lock(mutex_);
    const auto found = entries_.find(member);
    if (found != entries_.end()) {
        found->second.lastDeliveryTime = clock_.now();
        found->second.deliveredRevision = std::max(found->second.deliveredRevision, revision);
    }
}

void MembershipView::addRegistered(const std::vector<Member> &registered)
{
    bool isNew = false;
    {
        const std::lock_guard lock(mutex_);
        std::set<InstanceId> ids;
        for (const auto &member : registered) {
            ids.insert(member.id);
            const auto found = entries_.find(member.id);
            if (member.id != self_.id && (found == entries_.end() || member.incarnation > found->second.member.incarnation)) {
                findOrCreateEntry(member);
                isNew = true;
            }
        }
        const auto now = clock_.now();
        std::erase_if(entries_, [&](const auto &item) {
            const bool isSilent = !item.second.hasBeenHeard || now - item.second.member.lastHeard >= timing_.memberRetentionTime;
            return !ids.contains(item.first) && isSilent;
        });
    }
    if (isNew) {
        notifyChangeListener();
    }
}

std::optional<Member> MembershipView::member(const InstanceId &id) const
{
    const std::lock_guard lock(mutex_);
    const auto found = entries_.find(id);
    return found == entries_.end() ? std::nullopt : std::optional(found->second.member);
}

std::vector<Member> MembershipView::liveMembers() const
{
    const std::lock_guard lock(mutex_);
    std::vector<Member> result;
    for (const auto &[id, entry] : entries_) {
        if (isLive(entry)) {
            result.push_back(entry.member);
        }
    }
    return result;
}

std::vector<HeartbeatTarget> MembershipView::heartbeatTargets() const
{
    const std::lock_guard lock(mutex_);
    std::vector<HeartbeatTarget> result;
    for (const auto &[id, entry] : entries_) {
        result.push_back({ id, entry.peer, entry.lastDeliveryTime, entry.deliveredRevision });
    }
    return result;
}

std::shared_ptr<Peer> MembershipView::peer(const InstanceId &instance)
{
    const std::lock_guard lock(mutex_);
    const auto found = entries_.find(instance);
    return found != entries_.end() && isLive(found->second) ? found->second.peer : nullptr;
}

std::vector<InstanceId> MembershipView::livePeers()
{
    const std::lock_guard lock(mutex_);
    std::vector<InstanceId> result;
    for (const auto &[id, entry] : entries_) {
        if (isLive(entry)) {
            result.push_back(id);
        }
    }
    return result;
}

std::optional<InstanceId> MembershipView::claimPlace(const ServiceId &service, const std::set<InstanceId> &excluded)
{
    const std::lock_guard lock(mutex_);
    int mostPlaces = 0;
    std::vector<Entry *> bestEntries;
    for (auto &[id, entry] : entries_) {
        if (!isCandidate(entry, excluded)) {
            continue;
        }
        const auto places = remainingCapacity(entry, service).freePlaces;
        if (places > mostPlaces) {
            mostPlaces = places;
            bestEntries.clear();
        }
        if (places == mostPlaces && places > 0) {
            bestEntries.push_back(&entry);
        }
    }
    if (bestEntries.empty()) {
        return std::nullopt;
    }
    auto &chosenEntry = *bestEntries[static_cast<std::size_t>(randomBelow(static_cast<long long>(bestEntries.size())))];
    claim(chosenEntry, service);
    return chosenEntry.member.id;
}

std::vector<PeerCapacity> MembershipView::rooms(const ServiceId &service, const std::set<InstanceId> &excluded) const
{
    const std::lock_guard lock(mutex_);
    std::vector<PeerCapacity> result;
    for (const auto &[id, entry] : entries_) {
        const auto room = remainingCapacity(entry, service);
        if (isCandidate(entry, excluded) && room.freePlaces > 0) {
            result.push_back({ id, room });
        }
    }
    return result;
}

bool MembershipView::claimPlaceAt(const InstanceId &peer, const ServiceId &service)
{
    const std::lock_guard lock(mutex_);
    const auto found = entries_.find(peer);
    if (found == entries_.end() || !isCandidate(found->second, {}) || remainingCapacity(found->second, service).freePlaces <= 0) {
        return false;
    }
    claim(found->second, service);
    return true;
}

bool MembershipView::isCandidate(const Entry &entry, const std::set<InstanceId> &excluded) const
{
    return isLive(entry) && !excluded.contains(entry.member.id);
}

void MembershipView::claim(Entry &entry, const ServiceId &service)
{
    ++entry.claims[service];
    entry.lastClaimTime = clock_.now();
}

OwnerCapacity MembershipView::remainingCapacity(const Entry &entry, const ServiceId &service)
{
    for (const auto &pool : entry.member.summary.pools) {
        if (pool.service == service) {
            const auto claimsOfService = entry.claims.find(service);
            const auto claims = claimsOfService == entry.claims.end() ? 0 : claimsOfService->second;
            return { pool.freePlaces - claims, std::max(0, pool.partialPlaces - claims), false };
        }
    }
    return {};
}

bool MembershipView::isLive(const Entry &entry) const
{
    return entry.hasBeenHeard && clock_.now() - entry.member.lastHeard < timing_.suspicionTime;
}

} // namespace auburndoor
