#include "ownership/OwnershipDecision.h"

#include <algorithm>
#include <set>

namespace auburndoor {

namespace {

bool isOwn(const OwnershipSnapshot &snapshot, const SeenShard &shard)
{
    return shard.row.owner == snapshot.self && shard.row.incarnation == snapshot.selfIncarnation;
}

} // namespace

OwnershipDecision::OwnershipDecision(const ShardMap &map, const OwnershipTiming &timing) : map_(map), timing_(timing)
{
}

OwnershipActions OwnershipDecision::decide(const OwnershipSnapshot &snapshot) const
{
    OwnershipActions actions;
    if (snapshot.isLeaving) {
        return actions;
    }
    decideTakes(snapshot, actions);
    decideHandovers(snapshot, actions);
    decideForgotten(snapshot, actions);
    return actions;
}

std::vector<ShardHandover> OwnershipDecision::release(const OwnershipSnapshot &snapshot) const
{
    auto others = candidates(snapshot, Milliseconds(0));
    std::erase_if(others, [&](const auto &candidate) { return candidate.id == snapshot.self; });
    std::vector<ShardHandover> result;
    for (const auto &[id, shard] : snapshot.shards) {
        if (!isOwn(snapshot, shard)) {
            continue;
        }
        const auto successor = map_.preferredOwner(id, others);
        const auto found = snapshot.instances.find(successor);
        result.push_back({ id, successor, found == snapshot.instances.end() ? 0 : found->second.row.incarnation });
    }
    return result;
}

bool OwnershipDecision::isLive(const OwnershipSnapshot &snapshot, const SeenInstance &instance) const
{
    return snapshot.now - instance.unchangedSince < timing_.leaseTime;
}

std::vector<OwnerCandidate> OwnershipDecision::candidates(const OwnershipSnapshot &snapshot, Milliseconds liveFor) const
{
    std::vector<OwnerCandidate> result;
    for (const auto &[id, instance] : snapshot.instances) {
        const bool isSelf = id == snapshot.self;
        const bool isOldEnough = snapshot.now - instance.liveSince >= liveFor;
        if (isSelf ? snapshot.isLeaving : instance.row.isLeaving || !isLive(snapshot, instance) || !isOldEnough) {
            continue;
        }
        result.push_back({ id, instance.row.failureDomain, instance.row.region });
    }
    return result;
}

bool OwnershipDecision::isTakeable(const OwnershipSnapshot &snapshot, const SeenShard &shard, ShardTake &take) const
{
    if (shard.version == 0) {
        take.takeableSince = shard.unchangedSince + timing_.firstTakeDelay;
        return snapshot.now >= take.takeableSince;
    }
    if (shard.row.owner.isEmpty()) {
        take.takeableSince = shard.unchangedSince;
        return true;
    }
    const auto found = snapshot.instances.find(shard.row.owner);
    if (found == snapshot.instances.end()) {
        take.checkedOwner = shard.row.owner;
        return true;
    }
    const auto &owner = found->second;
    // Shard rows are read before instance rows, so another incarnation in the instance row is that of a later process.
    if (owner.row.incarnation != shard.row.incarnation) {
        take.takeableSince = owner.liveSince;
        return true;
    }
    if (shard.row.owner == snapshot.self || isLive(snapshot, owner)) {
        return false;
    }
    take.checkedOwner = shard.row.owner;
    take.ownerVersion = owner.version;
    take.takeableSince = owner.unchangedSince + timing_.leaseTime;
    return true;
}

void OwnershipDecision::decideTakes(const OwnershipSnapshot &snapshot, OwnershipActions &actions) const
{
    const auto live = candidates(snapshot, Milliseconds(0));
    for (const auto &[id, shard] : snapshot.shards) {
        if (actions.takes.size() == timing_.takesPerPoll) {
            return;
        }
        ShardTake take;
        take.shard = id;
        take.shardVersion = shard.version;
        take.newEpoch = shard.row.epoch + 1;
        if (isOwn(snapshot, shard) || !isTakeable(snapshot, shard, take)) {
            continue;
        }
        // A preferred owner that renews its row but takes nothing leaves the shard to the others after two lease times.
        const bool isLeftOver = snapshot.now - 2 * timing_.leaseTime >= take.takeableSince;
        if (isLeftOver || map_.preferredOwner(id, live) == snapshot.self) {
            actions.takes.push_back(take);
        }
    }
}

void OwnershipDecision::decideHandovers(const OwnershipSnapshot &snapshot, OwnershipActions &actions) const
{
    const auto stable = candidates(snapshot, timing_.stabilizationTime);
    for (const auto &[id, shard] : snapshot.shards) {
        if (actions.handovers.size() == timing_.handoversPerPoll) {
            return;
        }
        if (!isOwn(snapshot, shard)) {
            continue;
        }
        const auto preferred = map_.preferredOwner(id, stable);
        const auto found = snapshot.instances.find(preferred);
        if (preferred != snapshot.self && found != snapshot.instances.end()) {
            actions.handovers.push_back({ id, preferred, found->second.row.incarnation });
        }
    }
}

void OwnershipDecision::decideForgotten(const OwnershipSnapshot &snapshot, OwnershipActions &actions) const
{
    std::set<InstanceId> owners;
    for (const auto &[id, shard] : snapshot.shards) {
        owners.insert(shard.row.owner);
    }
    const auto live = candidates(snapshot, Milliseconds(0));
    // Only the first live instance deletes, so that the others do not spend writes on the same rows.
    if (live.empty() || live.front().id != snapshot.self) {
        return;
    }
    for (const auto &[id, instance] : snapshot.instances) {
        if (id != snapshot.self && snapshot.now - instance.unchangedSince >= timing_.forgetTime && !owners.contains(id)) {
            actions.forgotten.push_back(id);
        }
    }
}

} // namespace auburndoor
