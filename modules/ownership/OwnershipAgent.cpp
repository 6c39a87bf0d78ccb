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
    , shardMap_(options.shardsPerDomain, options.mode, {})
{
    ownRow_ = { options.id, options.incarnation, options.peerAddress, options.failureDomain, options.region, 0, false };
}

void OwnershipAgent::setDomains(const ShardMap::Domains &domains)
{
    const std::lock_guard lock(mutex_);
    shardMap_ = ShardMap(options_.shardsPerDomain, options_.mode, domains);
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
        // A failed renewal is repeated after half a poll period to a whole one; the jitter keeps instances from retrying together.
        const bool hasSucceeded = renewLease(now);
        hasObservationGap_ = hasObservationGap_ || !hasSucceeded;
        const auto retryDelay = options_.timing.pollPeriod / 2 + Milliseconds(randomBelow(options_.timing.pollPeriod.count() / 2));
        nextRenewal_ = now + (hasSucceeded ? options_.timing.renewPeriod : retryDelay);
    }
    if (const auto now = clock_.now(); now >= nextPoll_) {
        const bool hasSucceeded = poll(now);
        hasObservationGap_ = hasObservationGap_ || !hasSucceeded;
        nextPoll_ = now + options_.timing.pollPeriod;
        if (hasSucceeded && isRegistered()) {
            executeActions(now);
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

bool OwnershipAgent::renewLease(TimePoint now)
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
    // The cause may be an earlier write of this process whose answer was lost; the conflict has returned the current version.
    return isConflict && !isSuperseded() && writeOwnRow(deadline, isConflict);
}

bool OwnershipAgent::writeOwnRow(TimePoint deadline, bool &isConflict)
{
    const auto key = InstanceRow::key(options_.id);
    ++ownRow_.renewal;
    const auto value = ownRow_.toText();
    const auto result = commit(
        { makeRandomId(), { { key, ownRowVersion_ } }, { { key, value } }, WritePurpose::Ownership }, value, deadline);
    isConflict = result.status == CommitStatus::Conflict;
    if (isConflict) {
        // The only row checked is that of this instance.
        adoptOwnRow(result.conflicts.at(0));
    }
    if (result.status != CommitStatus::Committed) {
        return false;
    }
    ownRowVersion_ = result.versions.front();
    const std::lock_guard lock(mutex_);
    isRegistered_ = true;
    return true;
}

/** Adopts the version of the instance's stored row, written by this process, an earlier one, or a later one that supersedes it. */
void OwnershipAgent::adoptOwnRow(const TableRow &row)
{
    ownRowVersion_ = row.version;
    const auto storedRow = row.version == 0 ? std::nullopt : InstanceRow::fromText(options_.id, row.value);
    if (storedRow && storedRow->incarnation > options_.incarnation) {
        markSuperseded();
    } else if (storedRow && storedRow->incarnation == options_.incarnation) {
        ownRow_.renewal = std::max(ownRow_.renewal, storedRow->renewal);
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
        shards = shardMap_.shards();
    }
    for (const auto &key : observation_.observe(shards, *shardRows, *instanceRows, now, std::exchange(hasObservationGap_, false))) {
        metrics_.count("ownership_malformed_rows_total");
        Log::error("ownership-row-malformed", { { "row", key } });
    }
    reconcile(now);
    reportInstances();
    return true;
}

/** Updates the owned shards from the observed rows: adds shards handed over to this instance, removes those of other owners. */
void OwnershipAgent::reconcile(TimePoint readTime)
{
    if (!isRegistered()) {
        return;
    }
    for (const auto &[id, owned] : ownedShards()) {
        const auto found = observation_.shards().find(id);
        const bool isOwnedBySelf = found != observation_.shards().end() && found->second.row.owner == options_.id
                                   && found->second.row.incarnation == options_.incarnation;
        if (!isOwnedBySelf || found->second.row.epoch != owned.epoch) {
            removeOwnedShard(id);
        }
    }
    for (const auto &[id, shard] : observation_.shards()) {
        if (shard.row.owner == options_.id && shard.row.incarnation == options_.incarnation) {
            recordOwnedShard(id, { shard.row.epoch, shard.version });
            listener_.shardConfirmed(id, shard.row.epoch, readTime);
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

void OwnershipAgent::executeActions(TimePoint now)
{
    const auto deadline = now + options_.tableTimeout;
    // setDomains() is called on the thread of step(), so the map does not change during the decision.
    const auto actions = OwnershipDecision(shardMap_, options_.timing).decide(snapshot(now));
    // Actions still open at the deadline are decided again after the next poll, so that they do not delay the renewal of the lease.
    const auto isBeforeDeadline = [&] { return clock_.now() < deadline; };
    for (auto acquisition = actions.acquisitions.begin(); acquisition != actions.acquisitions.end() && isBeforeDeadline();
         ++acquisition) {
        acquireShard(*acquisition, deadline);
    }
    for (auto handover = actions.handovers.begin(); handover != actions.handovers.end() && isBeforeDeadline(); ++handover) {
        handOver(*handover, deadline);
    }
    for (const auto &id : actions.staleInstances) {
        if (deleteRow(InstanceRow::key(id), observation_.instances().at(id).version, deadline)) {
            metrics_.count("instance_rows_forgotten_total");
        }
    }
}

void OwnershipAgent::acquireShard(const ShardAcquisition &acquisition, TimePoint deadline)
{
    const auto key = ShardRow::key(acquisition.shard);
    const auto value = ShardRow { options_.id, options_.incarnation, acquisition.newEpoch }.toText();
    Transaction transaction {
        makeRandomId(), { { key, acquisition.shardRowVersion } }, { { key, value } }, WritePurpose::Ownership
    };
    if (!acquisition.checkedOwner.isEmpty()) {
        transaction.checks.push_back({ InstanceRow::key(acquisition.checkedOwner), acquisition.ownerRowVersion });
    }
    // This check fails if a later process with the same id has registered since the last renewal.
    transaction.checks.push_back({ InstanceRow::key(options_.id), ownRowVersion_ });
    const auto result = commit(transaction, value, deadline);
    if (result.status == CommitStatus::Committed) {
        metrics_.count("shards_taken_total", acquisition.checkedOwner.isEmpty() ? "unowned" : "owner-expired");
        recordOwnedShard(acquisition.shard, { acquisition.newEpoch, result.versions.front() });
    }
}

bool OwnershipAgent::handOver(const ShardHandover &handover, TimePoint deadline)
{
    const auto owned = ownedShard(handover.shard);
    if (!owned) {
        return true;
    }
    const auto key = ShardRow::key(handover.shard);
    const auto value = ShardRow { handover.successor, handover.successorIncarnation, owned->epoch + 1 }.toText();
    const auto result = commit(
        { makeRandomId(), { { key, owned->rowVersion } }, { { key, value } }, WritePurpose::Ownership }, value, deadline);
    if (result.status == CommitStatus::Committed) {
        metrics_.count("shards_handed_over_total");
    }
    // After a conflict another instance owns the shard. After an unknown outcome the next poll shows the owner.
    const bool isNoLongerOwned = result.status == CommitStatus::Committed || result.status == CommitStatus::Conflict;
    if (isNoLongerOwned) {
        removeOwnedShard(handover.shard);
    }
    return isNoLongerOwned;
}

bool OwnershipAgent::release(TimePoint deadline)
{
    bool hasSucceeded = isRegistered() && poll(clock_.now());
    for (const auto &handover : OwnershipDecision(shardMap_, options_.timing).decideRelease(snapshot(clock_.now()))) {
        hasSucceeded = clock_.now() < deadline && handOver(handover, deadline) && hasSucceeded;
    }
    hasSucceeded = hasSucceeded && ownedShards().empty();
    if (hasSucceeded && isRegistered()) {
        hasSucceeded = deleteRow(InstanceRow::key(options_.id), ownRowVersion_, deadline);
    }
    for (const auto &[shard, owned] : ownedShards()) {
        removeOwnedShard(shard);
    }
    const std::lock_guard lock(mutex_);
    isRegistered_ = false;
    return hasSucceeded;
}

bool OwnershipAgent::deleteRow(const std::string &key, long long version, TimePoint deadline)
{
    const auto result = commit(
        { makeRandomId(), { { key, version } }, { { key, std::nullopt } }, WritePurpose::Ownership }, {}, deadline);
    return result.status == CommitStatus::Committed;
}

void OwnershipAgent::markSuperseded()
{
    {
        const std::lock_guard lock(mutex_);
        isSuperseded_ = true;
        isRegistered_ = false;
    }
    metrics_.count("ownership_superseded_total");
    Log::error("instance-superseded", { { "instance", options_.id.text() } });
    for (const auto &[shard, owned] : ownedShards()) {
        removeOwnedShard(shard);
    }
}

/** Commits a transaction with one write. If the outcome is unknown, reads the row back to learn whether it was written. */
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

void OwnershipAgent::recordOwnedShard(const ShardId &shard, const OwnedShard &owned)
{
    {
        const std::lock_guard lock(mutex_);
        const auto found = ownedShards_.find(shard);
        const bool isAlreadyOwned = found != ownedShards_.end() && found->second.epoch == owned.epoch;
        ownedShards_[shard] = owned;
        if (isAlreadyOwned) {
            return;
        }
    }
    Log::info("shard-gained", { { "shard", shard.text() }, { "epoch", std::to_string(owned.epoch) } });
    metrics_.count("shards_gained_total");
    listener_.shardGained(shard, owned.epoch);
}

void OwnershipAgent::removeOwnedShard(const ShardId &shard)
{
    {
        const std::lock_guard lock(mutex_);
        if (ownedShards_.erase(shard) == 0) {
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
    return ownedShards_;
}

std::optional<OwnedShard> OwnershipAgent::ownedShard(const ShardId &shard) const
{
    const std::lock_guard lock(mutex_);
    const auto found = ownedShards_.find(shard);
    return found == ownedShards_.end() ? std::nullopt : std::optional(found->second);
}

ShardId OwnershipAgent::shardOf(const FailureDomainId &domain, const WorkerId &worker) const
{
    const std::lock_guard lock(mutex_);
    return shardMap_.shardOf(domain, worker);
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
