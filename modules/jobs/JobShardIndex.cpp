#include "jobs/JobShardIndex.h"

#include "core/Failure.h"
#include "storage/TableService.h"

#include <xxhash.h>

namespace auburndoor {

namespace {

/** Ids in the declarative file cannot contain this character, so the ids of submitted and declared jobs never collide. */
constexpr char submittedSeparator = ':';
/** The maximum number of jobs in the cache of shards; the cache is cleared when it is full. */
constexpr std::size_t maximumKnownJobs = 20'000;

} // namespace

JobShardIndex::JobShardIndex(TableService &table, int shardsPerDomain) : table_(table), shardsPerDomain_(shardsPerDomain)
{
}

void JobShardIndex::setDomains(const ShardMap::Domains &domains)
{
    const ShardMap map(shardsPerDomain_, OwnershipMode::Sharded, domains);
    const std::lock_guard lock(mutex_);
    shards_ = map.shards();
}

std::vector<ShardId> JobShardIndex::shards() const
{
    const std::lock_guard lock(mutex_);
    return shards_;
}

std::optional<ShardId> JobShardIndex::assign(const JobId &job, TimePoint deadline, Failure &failure)
{
    auto known = find(job, deadline, failure);
    return known || failure.reason != FailureReason::UnknownName ? known : chooseShard(job, failure);
}

std::optional<ShardId> JobShardIndex::find(const JobId &job, TimePoint deadline, Failure &failure)
{
    if (auto known = findKnownShard(job)) {
        return known;
    }
    const auto row = table_.read(rowKey(job), deadline, failure);
    if (!row) {
        return std::nullopt;
    }
    if (row->version == 0) {
        failure = { FailureStep::ReadTable, "table", FailureReason::UnknownName, "no job \"" + job.text() + "\" is recorded" };
        return std::nullopt;
    }
    rememberShard(job, ShardId(row->value));
    return ShardId(row->value);
}

JobId JobShardIndex::submittedId(const TeamId &team, const std::string &idempotencyKey)
{
    return JobId(team.text() + submittedSeparator + idempotencyKey);
}

bool JobShardIndex::isSubmitted(const JobId &job)
{
    return job.text().find(submittedSeparator) != std::string::npos;
}

std::string JobShardIndex::rowKey(const JobId &job)
{
    return "job-index/" + job.text();
}

std::optional<ShardId> JobShardIndex::chooseShard(const JobId &job, Failure &failure) const
{
    const std::lock_guard lock(mutex_);
    if (shards_.empty()) {
        failure = {
            FailureStep::Admit, {}, FailureReason::NotReady, "no worker is listed yet, so there is no shard to record the job in"
        };
        return std::nullopt;
    }
    return shards_[XXH64(job.text().data(), job.text().size(), 0) % shards_.size()];
}

std::optional<ShardId> JobShardIndex::findKnownShard(const JobId &job) const
{
    const std::lock_guard lock(mutex_);
    const auto found = knownShards_.find(job);
    return found == knownShards_.end() ? std::nullopt : std::optional(found->second);
}

void JobShardIndex::rememberShard(const JobId &job, const ShardId &shard)
{
    const std::lock_guard lock(mutex_);
    if (knownShards_.size() >= maximumKnownJobs) {
        knownShards_.clear();
    }
    knownShards_.emplace(job, shard);
}

} // namespace auburndoor
