#include "ownership/OwnershipObservation.h"

#include <set>
#include <string_view>

namespace auburndoor {

OwnershipObservation::OwnershipObservation(const OwnershipTiming &timing) : timing_(timing)
{
}

std::vector<std::string> OwnershipObservation::observe(const std::vector<ShardId> &shards,
                                                       const std::vector<TableRow> &shardRows,
                                                       const std::vector<TableRow> &instanceRows,
                                                       TimePoint now,
                                                       bool hasObservationGap)
{
    // While the table was unavailable or this process was paused, no renewal could be seen. All lease times start again; otherwise
    // every instance would consider all others dead as soon as it reads the table again.
    if (hasObservationGap || now - lastObserved_ > timing_.leaseTime / 2) {
        for (auto &[id, instance] : instances_) {
            instance.unchangedSince = now;
        }
    }
    lastObserved_ = now;

    std::vector<std::string> malformed;
    std::map<std::string_view, const TableRow *> rowByKey;
    for (const auto &row : shardRows) {
        rowByKey[row.key] = &row;
    }
    const std::set<ShardId> existingShards(shards.begin(), shards.end());
    std::erase_if(shards_, [&](const auto &entry) { return !existingShards.contains(entry.first); });
    for (const auto &id : shards) {
        const auto found = rowByKey.find(ShardRow::key(id));
        const auto *row = found == rowByKey.end() ? nullptr : found->second;
        if (row != nullptr && !ShardRow::fromText(row->value)) {
            malformed.push_back(row->key);
            continue;
        }
        observeShard(id, row, now);
    }
    std::set<InstanceId> presentInstances;
    for (const auto &row : instanceRows) {
        const InstanceId id(row.key.substr(std::string_view(instanceRowPrefix).size()));
        presentInstances.insert(id);
        if (const auto parsed = InstanceRow::fromText(id, row.value)) {
            observeInstance(id, *parsed, row.version, now);
        } else {
            malformed.push_back(row.key);
        }
    }
    std::erase_if(instances_, [&](const auto &entry) { return !presentInstances.contains(entry.first); });
    return malformed;
}

void OwnershipObservation::observeShard(const ShardId &id, const TableRow *row, TimePoint now)
{
    const auto version = row == nullptr ? 0 : row->version;
    const auto found = shards_.find(id);
    if (found != shards_.end() && found->second.version == version) {
        return;
    }
    shards_[id] = { row == nullptr ? ShardRow() : *ShardRow::fromText(row->value), version, now };
}

void OwnershipObservation::observeInstance(const InstanceId &id, const InstanceRow &row, long long version, TimePoint now)
{
    const auto found = instances_.find(id);
    if (found == instances_.end() || found->second.row.incarnation != row.incarnation) {
        instances_[id] = { row, version, now, now };
        return;
    }
    auto &observed = found->second;
    if (observed.version == version) {
        return;
    }
    if (now - observed.unchangedSince >= timing_.leaseTime) {
        observed.liveSince = now;
    }
    observed.row = row;
    observed.version = version;
    observed.unchangedSince = now;
}

const std::map<InstanceId, ObservedInstance> &OwnershipObservation::instances() const
{
    return instances_;
}

const std::map<ShardId, ObservedShard> &OwnershipObservation::shards() const
{
    return shards_;
}

} // namespace auburndoor
