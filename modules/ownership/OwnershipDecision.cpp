#include "ownership/OwnershipDecision.h"

#include <algorithm>
#include <set>

namespace auburndoor {

namespace {

bool isOwnedBySelf(const OwnershipSnapshot &snapshot, const ObservedShard &shard)
{
    return shard.row.owner == snapshot.self && shard.row.incarnation == snapshot.selfIncarnation;
}

} // namespace

OwnershipDecision::OwnershipDecision(const ShardMap &map, const OwnershipTiming &timing) : shardMap_(map), timing_(timing)
{
}

OwnershipActions OwnershipDecision::decide(const OwnershipSnapshot &snapshot) const
{
    OwnershipActions actions;
    if (snapshot.isLeaving) {
        return actions;
    }
    decideAcquisitions(snapshot, actions);
    decideHandovers(snapshot, actions);
    decideStaleInstances(snapshot, actions);
    return actions;
}

std::vector<ShardHandover> OwnershipDecision::decideRelease(const OwnershipSnapshot &snapshot) const
{
    auto successorCandidates = findCandidates(snapshot, Milliseconds(0));
    std::erase_if(successorCandidates, [&](const auto &candidate) { return candidate.id == snapshot.self; });
    std::vector<ShardHandover> result;
    for (const auto &[id, shard] : snapshot.shards) {
        if (!isOwnedBySelf(snapshot, shard)) {
            continue;
        }
        const auto successor = shardMap_.preferredOwner(id, successorCandidates);
        const auto found = snapshot.instances.find(successor);
        result.push_back({ id, successor, found == snapshot.instances.end() ? 0 : found->second.row.incarnation });
    }
    return result;
}

bool OwnershipDecision::isLive(const OwnershipSnapshot &snapshot, const ObservedInstance &instance) const
{
    return snapshot.now - instance.unchangedSince < timing_.leaseTime;
}

std::vector<OwnerCandidate> OwnershipDecision::findCandidates(const OwnershipSnapshot &snapshot, Milliseconds minimumLiveTime) const
{
    std::vector<OwnerCandidate> result;
    for (const auto &[id, instance] : snapshot.instances) {
        const bool isSelf = id == snapshot.self;
        const bool hasBeenLiveLongEnough = snapshot.now - instance.liveSince >= minimumLiveTime;
        if (isSelf ? snapshot.isLeaving : instance.row.isLeaving || !isLive(snapshot, instance) || !hasBeenLiveLongEnough) {
            continue;
        }
        result.push_back({ id, instance.row.failureDomain, instance.row.region });
    }
    return result;
}

bool OwnershipDecision::canAcquire(const OwnershipSnapshot &snapshot,
                                   const ObservedShard &shard,
                                   ShardAcquisition &acquisition) const
{
    if (shard.version == 0) {
        acquisition.availableSince = shard.unchangedSince + timing_.firstAcquisitionDelay;
        return snapshot.now >= acquisition.availableSince;
    }
    if (shard.row.owner.isEmpty()) {
        acquisition.availableSince = shard.unchangedSince;
        return true;
    }
    const auto found = snapshot.instances.find(shard.row.owner);
    if (found == snapshot.instances.end()) {
        acquisition.checkedOwner = shard.row.owner;
        return true;
    }
    const auto &owner = found->second;
    // Shard rows are read before instance rows, so a different incarnation in the instance row is that of a later process.
    if (owner.row.incarnation != shard.row.incarnation) {
        acquisition.availableSince = owner.liveSince;
        return true;
    }
    if (shard.row.owner == snapshot.self || isLive(snapshot, owner)) {
        return false;
    }
    acquisition.checkedOwner = shard.row.owner;
    acquisition.ownerRowVersion = owner.version;
    acquisition.availableSince = owner.unchangedSince + timing_.leaseTime;
    return true;
}

void OwnershipDecision::decideAcquisitions(const OwnershipSnapshot &snapshot, OwnershipActions &actions) const
{
    const auto liveCandidates = findCandidates(snapshot, Milliseconds(0));
    for (const auto &[id, shard] : snapshot.shards) {
        if (actions.acquisitions.size() == timing_.maximumAcquisitionsPerPoll) {
            return;
        }
        ShardAcquisition acquisition;
        acquisition.shard = id;
        acquisition.shardRowVersion = shard.version;
        acquisition.newEpoch = shard.row.epoch + 1;
        if (isOwnedBySelf(snapshot, shard) || !canAcquire(snapshot, shard, acquisition)) {
            continue;
        }
        // A preferred owner may renew its row without acquiring shards; after two lease times any instance acquires them.
        const bool isPreferredOwnerOverdue = snapshot.now - 2 * timing_.leaseTime >= acquisition.availableSince;
        if (isPreferredOwnerOverdue || shardMap_.preferredOwner(id, liveCandidates) == snapshot.self) {
            actions.acquisitions.push_back(acquisition);
        }
    }
}

void OwnershipDecision::decideHandovers(const OwnershipSnapshot &snapshot, OwnershipActions &actions) const
{
    const auto stableCandidates = findCandidates(snapshot, timing_.stabilizationTime);
    for (const auto &[id, shard] : snapshot.shards) {
        if (actions.handovers.size() == timing_.maximumHandoversPerPoll) {
            return;
        }
        if (!isOwnedBySelf(snapshot, shard)) {
            continue;
        }
        const auto preferred = shardMap_.preferredOwner(id, stableCandidates);
        const auto found = snapshot.instances.find(preferred);
        if (preferred != snapshot.self && found != snapshot.instances.end()) {
            actions.handovers.push_back({ id, preferred, found->second.row.incarnation });
        }
    }
}

void OwnershipDecision::decideStaleInstances(const OwnershipSnapshot &snapshot, OwnershipActions &actions) const
{
    std::set<InstanceId> owners;
    for (const auto &[id, shard] : snapshot.shards) {
        owners.insert(shard.row.owner);
    }
    const auto liveCandidates = findCandidates(snapshot, Milliseconds(0));
    // Only the live instance with the lowest id deletes rows, so that the instances do not spend several writes on one row.
    if (liveCandidates.empty() || liveCandidates.front().id != snapshot.self) {
        return;
    }
    for (const auto &[id, instance] : snapshot.instances) {
        if (id != snapshot.self && snapshot.now - instance.unchangedSince >= timing_.instanceRowRetentionTime
            && !owners.contains(id)) {
            actions.staleInstances.push_back(id);
        }
    }
}

} // namespace auburndoor
