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
                                                       bool hasGap)
{
    // While the table or this process was away, no owner could be seen to renew. All lease times start again, because otherwise
    // every instance would take every other one for dead when the table returns.
    if (hasGap || now - lastObserved_ > timing_.leaseTime / 2) {
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
    const std::set<ShardId> known(shards.begin(), shards.end());
    std::erase_if(shards_, [&](const auto &entry) { return !known.contains(entry.first); });
    for (const auto &id : shards) {
        const auto found = rowByKey.find(ShardRow::key(id));
        const auto *row = found == rowByKey.end() ? nullptr : found->second;
        if (row != nullptr && !ShardRow::fromText(row->value)) {
            malformed.push_back(row->key);
            continue;
        }
        observeShard(id, row, now);
    }
    std::set<InstanceId> present;
    for (const auto &row : instanceRows) {
        const InstanceId id(row.key.substr(std::string_view(instanceRowPrefix).size()));
        present.insert(id);
        if (const auto parsed = InstanceRow::fromText(id, row.value)) {
            observeInstance(id, *parsed, row.version, now);
        } else {
            malformed.push_back(row.key);
        }
    }
    std::erase_if(instances_, [&](const auto &entry) { return !present.contains(entry.first); });
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
    auto &seen = found->second;
    if (seen.version == version) {
        return;
    }
    if (now - seen.unchangedSince >= timing_.leaseTime) {
        seen.liveSince = now;
    }
    seen.row = row;
    seen.version = version;
    seen.unchangedSince = now;
}

const std::map<InstanceId, SeenInstance> &OwnershipObservation::instances() const
{
    return instances_;
}

const std::map<ShardId, SeenShard> &OwnershipObservation::shards() const
{
    return shards_;
}

} // namespace auburndoor
