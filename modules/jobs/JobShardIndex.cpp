#include "jobs/JobShardIndex.h"

#include "core/Failure.h"
#include "storage/TableService.h"

#include <xxhash.h>

namespace auburndoor {

namespace {

/** No identifier of the declarative file holds it, so that submitted jobs never meet declared ones. */
constexpr char submittedSeparator = ':';
/** Jobs whose shard is remembered; past it the table is asked again. */
constexpr std::size_t rememberLimit = 20'000;

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
    return known || failure.reason != FailureReason::UnknownName ? known : choose(job, failure);
}

std::optional<ShardId> JobShardIndex::find(const JobId &job, TimePoint deadline, Failure &failure)
{
    if (auto known = remembered(job)) {
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
    remember(job, ShardId(row->value));
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

std::optional<ShardId> JobShardIndex::choose(const JobId &job, Failure &failure) const
{
    const std::lock_guard lock(mutex_);
    if (shards_.empty()) {
        failure = { FailureStep::Admit, {}, FailureReason::NotReady, "no worker is listed yet, so that no shard can take the job" };
        return std::nullopt;
    }
    return shards_[XXH64(job.text().data(), job.text().size(), 0) % shards_.size()];
}

std::optional<ShardId> JobShardIndex::remembered(const JobId &job) const
{
    const std::lock_guard lock(mutex_);
    const auto found = known_.find(job);
    return found == known_.end() ? std::nullopt : std::optional(found->second);
}

void JobShardIndex::remember(const JobId &job, const ShardId &shard)
{
    const std::lock_guard lock(mutex_);
    if (known_.size() >= rememberLimit) {
        known_.clear();
    }
    known_.emplace(job, shard);
}

} // namespace auburndoor
