#include "jobs/JobDirectory.h"

#include "core/Failure.h"
#include "core/RandomId.h"
#include "platform/TableService.h"

#include <xxhash.h>

namespace auburndoor {

namespace {

/** Jobs whose shard is remembered; past it the table is asked again. */
constexpr std::size_t rememberLimit = 20'000;

} // namespace

JobDirectory::JobDirectory(TableService &table, int shardsPerDomain) : table_(table), shardsPerDomain_(shardsPerDomain)
{
}

void JobDirectory::setDomains(const ShardMap::Domains &domains)
{
    const ShardMap map(shardsPerDomain_, OwnershipMode::Sharded, domains);
    const std::lock_guard lock(mutex_);
    shards_ = map.shards();
}

std::vector<ShardId> JobDirectory::shards() const
{
    const std::lock_guard lock(mutex_);
    return shards_;
}

std::optional<ShardId> JobDirectory::assign(const JobId &job, TimePoint deadline, Failure &failure)
{
    if (auto known = find(job, deadline, failure); known || failure.reason != Reason::UnknownName) {
        return known;
    }
    auto chosen = choose(job, failure);
    if (!chosen) {
        return std::nullopt;
    }
    const auto key = rowKey(job);
    const Transaction transaction { makeRandomId(), { { key, 0 } }, { { key, chosen->text() } }, WritePurpose::JobProgress };
    const auto result = table_.commit(transaction, deadline, failure);
    if (result.status == CommitStatus::Committed) {
        remember(job, *chosen);
        return chosen;
    }
    // Another instance was quicker, or the answer was lost: the row tells.
    return find(job, deadline, failure);
}

std::optional<ShardId> JobDirectory::find(const JobId &job, TimePoint deadline, Failure &failure)
{
    if (auto known = remembered(job)) {
        return known;
    }
    const auto row = table_.read(rowKey(job), deadline, failure);
    if (!row) {
        return std::nullopt;
    }
    if (row->version == 0) {
        failure = { Step::ReadTable, "table", Reason::UnknownName, "no job \"" + job.text() + "\" is recorded" };
        return std::nullopt;
    }
    remember(job, ShardId(row->value));
    return ShardId(row->value);
}

std::string JobDirectory::rowKey(const JobId &job)
{
    return "job-index/" + job.text();
}

std::optional<ShardId> JobDirectory::choose(const JobId &job, Failure &failure) const
{
    const std::lock_guard lock(mutex_);
    if (shards_.empty()) {
        failure = { Step::Admit, {}, Reason::NotReady, "no worker is listed yet, so that no shard can take the job" };
        return std::nullopt;
    }
    return shards_[XXH64(job.text().data(), job.text().size(), 0) % shards_.size()];
}

std::optional<ShardId> JobDirectory::remembered(const JobId &job) const
{
    const std::lock_guard lock(mutex_);
    const auto found = known_.find(job);
    return found == known_.end() ? std::nullopt : std::optional(found->second);
}

void JobDirectory::remember(const JobId &job, const ShardId &shard)
{
    const std::lock_guard lock(mutex_);
    if (known_.size() >= rememberLimit) {
        known_.clear();
    }
    known_.emplace(job, shard);
}

} // namespace auburndoor
