#include "ownership/OwnershipAgent.h"

#include "core/Failure.h"
#include "core/RandomId.h"
#include "observability/Log.h"
#include "observability/Metrics.h"
#include "ownership/ShardListener.h"

#include <algorithm>

namespace auburndoor {

OwnershipAgent::OwnershipAgent(const OwnershipOptions &options,
                               TableService &table,
                               ShardListener &listener,
                               Clock &clock,
                               Metrics &metrics)
    : options_(options)
    , table_(table)
    , listener_(listener)
    , clock_(clock)
    , metrics_(metrics)
    , nextRenewal_(clock.now())
    , nextPoll_(clock.now())
    , observation_(options.timing)
    , map_(options.shardsPerDomain, options.mode, {})
{
    ownRow_ = { options.id, options.incarnation, options.peerAddress, options.failureDomain, options.region, 0, false };
}

void OwnershipAgent::setDomains(const ShardMap::Domains &domains)
{
    const std::lock_guard lock(mutex_);
    map_ = ShardMap(options_.shardsPerDomain, options_.mode, domains);
}

void OwnershipAgent::setInstancesListener(std::function<void(const std::vector<Member> &)> listener)
{
    instancesListener_ = std::move(listener);
}

TimePoint OwnershipAgent::step()
{
    if (isSuperseded()) {
        return clock_.now() + options_.timing.renewPeriod;
    }
    if (const auto now = clock_.now(); now >= nextRenewal_) {
        // A failed renewal is repeated at the pace of the polls, with jitter so that instances do not return all at once.
        const bool isDone = renew(now);
        hasGap_ = hasGap_ || !isDone;
        const auto retry = options_.timing.pollPeriod / 2 + Milliseconds(randomBelow(options_.timing.pollPeriod.count() / 2));
        nextRenewal_ = now + (isDone ? options_.timing.renewPeriod : retry);
    }
    if (const auto now = clock_.now(); now >= nextPoll_) {
        const bool isDone = poll(now);
        hasGap_ = hasGap_ || !isDone;
        nextPoll_ = now + options_.timing.pollPeriod;
        if (isDone && isRegistered()) {
            act(now);
        }
    }
    metrics_.setGauge("owned_shards", static_cast<double>(ownedShards().size()));
    return std::min(nextRenewal_, nextPoll_);
}

void OwnershipAgent::beginLeaving()
{
    ownRow_.isLeaving = true;
    nextRenewal_ = clock_.now();
}

bool OwnershipAgent::renew(TimePoint now)
{
    const auto deadline = now + options_.tableTimeout;
    if (!isRegistered()) {
        Failure failure;
        const auto row = table_.read(InstanceRow::key(options_.id), deadline, failure);
        if (!row) {
            return false;
        }
        adoptOwnRow(*row);
    }
    bool isConflict = false;
    if (isSuperseded()) {
        return false;
    }
    if (writeOwnRow(deadline, isConflict)) {
        return true;
    }
    // An earlier write of ours with a lost answer changes the version; the conflict has told the present one.
    return isConflict && !isSuperseded() && writeOwnRow(deadline, isConflict);
}

bool OwnershipAgent::writeOwnRow(TimePoint deadline, bool &isConflict)
{
    const auto key = InstanceRow::key(options_.id);
    ++ownRow_.renewal;
    const auto value = ownRow_.toText();
    const auto result = commit(
        { makeRandomId(), { { key, ownVersion_ } }, { { key, value } }, WritePurpose::Ownership }, value, deadline);
    isConflict = result.status == CommitStatus::Conflict;
    if (isConflict) {
        // The only row checked is the own one.
        adoptOwnRow(result.conflicts.at(0));
    }
    if (result.status != CommitStatus::Committed) {
        return false;
    }
    ownVersion_ = result.versions.front();
    const std::lock_guard lock(mutex_);
    isRegistered_ = true;
    return true;
}

/** Adopts what the table says of the own row: an earlier write of ours, an earlier process, or a later one. */
void OwnershipAgent::adoptOwnRow(const TableRow &row)
{
    ownVersion_ = row.version;
    const auto present = row.version == 0 ? std::nullopt : InstanceRow::fromText(options_.id, row.value);
    if (present && present->incarnation > options_.incarnation) {
        supersede();
    } else if (present && present->incarnation == options_.incarnation) {
        ownRow_.renewal = std::max(ownRow_.renewal, present->renewal);
    }
}

bool OwnershipAgent::poll(TimePoint now)
{
    const auto deadline = now + options_.tableTimeout;
    Failure failure;
    const auto shardRows = table_.readPrefix(shardRowPrefix, deadline, failure);
    const auto instanceRows = shardRows ? table_.readPrefix(instanceRowPrefix, deadline, failure) : std::nullopt;
    if (!instanceRows) {
        metrics_.countRetry(failure);
        return false;
    }
    std::vector<ShardId> shards;
    {
        const std::lock_guard lock(mutex_);
        shards = map_.shards();
    }
    for (const auto &key : observation_.observe(shards, *shardRows, *instanceRows, now, std::exchange(hasGap_, false))) {
        metrics_.count("ownership_malformed_rows_total");
        Log::error("ownership-row-malformed", { { "row", key } });
    }
    reconcile();
    reportInstances();
    return true;
}

/** Brings the owned shards in line with the rows: finds those handed to this instance and those taken from it. */
void OwnershipAgent::reconcile()
{
    if (!isRegistered()) {
        return;
    }
    for (const auto &[id, owned] : ownedShards()) {
        const auto found = observation_.shards().find(id);
        const bool isOwn = found != observation_.shards().end() && found->second.row.owner == options_.id
                           && found->second.row.incarnation == options_.incarnation;
        if (!isOwn || found->second.row.epoch != owned.epoch) {
            dropOwned(id);
        }
    }
    for (const auto &[id, shard] : observation_.shards()) {
        if (shard.row.owner == options_.id && shard.row.incarnation == options_.incarnation) {
            setOwned(id, { shard.row.epoch, shard.version });
        }
    }
}

void OwnershipAgent::reportInstances() const
{
    if (!instancesListener_) {
        return;
    }
    std::vector<Member> members;
    for (const auto &[id, instance] : observation_.instances()) {
        if (id != options_.id) {
            Member member;
            member.id = id;
            member.incarnation = instance.row.incarnation;
            member.peerAddress = instance.row.peerAddress;
            member.failureDomain = instance.row.failureDomain;
            member.region = instance.row.region;
            member.isLeaving = instance.row.isLeaving;
            members.push_back(member);
        }
    }
    instancesListener_(members);
}

OwnershipSnapshot OwnershipAgent::snapshot(TimePoint now) const
{
    return { now, options_.id, options_.incarnation, ownRow_.isLeaving, observation_.instances(), observation_.shards() };
}

void OwnershipAgent::act(TimePoint now)
{
    const auto deadline = now + options_.tableTimeout;
    // setDomains() is called on the thread of step(), so that the map does not change during the decision.
    const auto actions = OwnershipDecision(map_, options_.timing).decide(snapshot(now));
    // What does not fit in the time is decided again at the next poll; the lease must be renewed meanwhile.
    const auto isInTime = [&] { return clock_.now() < deadline; };
    for (auto order = actions.takes.begin(); order != actions.takes.end() && isInTime(); ++order) {
        take(*order, deadline);
    }
    for (auto order = actions.handovers.begin(); order != actions.handovers.end() && isInTime(); ++order) {
        handOver(*order, deadline);
    }
    for (const auto &id : actions.forgotten) {
        if (deleteRow(InstanceRow::key(id), observation_.instances().at(id).version, deadline)) {
            metrics_.count("instance_rows_forgotten_total");
        }
    }
}

void OwnershipAgent::take(const ShardTake &order, TimePoint deadline)
{
    const auto key = ShardRow::key(order.shard);
    const auto value = ShardRow { options_.id, options_.incarnation, order.newEpoch }.toText();
    Transaction transaction { makeRandomId(), { { key, order.shardVersion } }, { { key, value } }, WritePurpose::Ownership };
    if (!order.checkedOwner.isEmpty()) {
        transaction.checks.push_back({ InstanceRow::key(order.checkedOwner), order.ownerVersion });
    }
    // A process that has been superseded meanwhile takes nothing.
    transaction.checks.push_back({ InstanceRow::key(options_.id), ownVersion_ });
    const auto result = commit(transaction, value, deadline);
    if (result.status == CommitStatus::Committed) {
        metrics_.count("shards_taken_total", order.checkedOwner.isEmpty() ? "unowned" : "owner-expired");
        setOwned(order.shard, { order.newEpoch, result.versions.front() });
    }
}

bool OwnershipAgent::handOver(const ShardHandover &order, TimePoint deadline)
{
    const auto owned = ownedShard(order.shard);
    if (!owned) {
        return true;
    }
    const auto key = ShardRow::key(order.shard);
    const auto value = ShardRow { order.successor, order.successorIncarnation, owned->epoch + 1 }.toText();
    const auto result = commit(
        { makeRandomId(), { { key, owned->rowVersion } }, { { key, value } }, WritePurpose::Ownership }, value, deadline);
    if (result.status == CommitStatus::Committed) {
        metrics_.count("shards_handed_over_total");
    }
    // After a conflict another instance has the shard. An unknown outcome is settled by the next poll.
    const bool isGone = result.status == CommitStatus::Committed || result.status == CommitStatus::Conflict;
    if (isGone) {
        dropOwned(order.shard);
    }
    return isGone;
}

bool OwnershipAgent::release(TimePoint deadline)
{
    bool isDone = isRegistered() && poll(clock_.now());
    for (const auto &order : OwnershipDecision(map_, options_.timing).release(snapshot(clock_.now()))) {
        isDone = clock_.now() < deadline && handOver(order, deadline) && isDone;
    }
    isDone = isDone && ownedShards().empty();
    if (isDone && isRegistered()) {
        isDone = deleteRow(InstanceRow::key(options_.id), ownVersion_, deadline);
    }
    for (const auto &[shard, owned] : ownedShards()) {
        dropOwned(shard);
    }
    const std::lock_guard lock(mutex_);
    isRegistered_ = false;
    return isDone;
}

bool OwnershipAgent::deleteRow(const std::string &key, long long version, TimePoint deadline)
{
    const auto result = commit(
        { makeRandomId(), { { key, version } }, { { key, std::nullopt } }, WritePurpose::Ownership }, {}, deadline);
    return result.status == CommitStatus::Committed;
}

void OwnershipAgent::supersede()
{
    {
        const std::lock_guard lock(mutex_);
        isSuperseded_ = true;
        isRegistered_ = false;
    }
    metrics_.count("ownership_superseded_total");
    Log::error("instance-superseded", { { "instance", options_.id.text() } });
    for (const auto &[shard, owned] : ownedShards()) {
        dropOwned(shard);
    }
}

/** Commits; an unknown outcome of a single write is resolved by reading the row back. */
CommitResult OwnershipAgent::commit(const Transaction &transaction, const std::string &value, TimePoint deadline)
{
    Failure failure;
    auto result = table_.commit(transaction, deadline, failure);
    if (result.status == CommitStatus::Committed) {
        return result;
    }
    if (result.status == CommitStatus::Conflict) {
        metrics_.count("ownership_conflicts_total");
        return result;
    }
    metrics_.countRetry(failure);
    if (result.status == CommitStatus::Unknown) {
        const auto row = table_.read(transaction.writes.front().key, clock_.now() + options_.tableTimeout, failure);
        if (row && row->version != 0 && row->value == value) {
            return { CommitStatus::Committed, { row->version }, {} };
        }
        if (row && row->version == 0 && !transaction.writes.front().value) {
            return { CommitStatus::Committed, { 0 }, {} };
        }
    }
    Log::failure("ownership-write-failed", failure, { { "row", transaction.writes.front().key } });
    return result;
}

void OwnershipAgent::setOwned(const ShardId &shard, const OwnedShard &owned)
{
    {
        const std::lock_guard lock(mutex_);
        const auto found = owned_.find(shard);
        const bool isKnown = found != owned_.end() && found->second.epoch == owned.epoch;
        owned_[shard] = owned;
        if (isKnown) {
            return;
        }
    }
    Log::info("shard-gained", { { "shard", shard.text() }, { "epoch", std::to_string(owned.epoch) } });
    metrics_.count("shards_gained_total");
    listener_.shardGained(shard, owned.epoch);
}

void OwnershipAgent::dropOwned(const ShardId &shard)
{
    {
        const std::lock_guard lock(mutex_);
        if (owned_.erase(shard) == 0) {
            return;
        }
    }
    Log::info("shard-lost", { { "shard", shard.text() } });
    metrics_.count("shards_lost_total");
    listener_.shardLost(shard);
}

std::map<ShardId, OwnedShard> OwnershipAgent::ownedShards() const
{
    const std::lock_guard lock(mutex_);
    return owned_;
}

std::optional<OwnedShard> OwnershipAgent::ownedShard(const ShardId &shard) const
{
    const std::lock_guard lock(mutex_);
    const auto found = owned_.find(shard);
    return found == owned_.end() ? std::nullopt : std::optional(found->second);
}

ShardId OwnershipAgent::shardOf(const FailureDomainId &domain, const WorkerId &worker) const
{
    const std::lock_guard lock(mutex_);
    return map_.shardOf(domain, worker);
}

bool OwnershipAgent::isRegistered() const
{
    const std::lock_guard lock(mutex_);
    return isRegistered_;
}

bool OwnershipAgent::isSuperseded() const
{
    const std::lock_guard lock(mutex_);
    return isSuperseded_;
}

} // namespace auburndoor
