#pragma once

#include "core/Clock.h"
#include "core/Identifier.h"
#include "ownership/ShardMap.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace auburndoor {

class TableService;
struct Failure;

/**
    Finds the shard in which a job is recorded, and chooses one for a new job.

    The shard of a new job is chosen by a hash of the job's id. JobStore writes it to the row "job-index/<id>" in the transaction
    that records the job, because the set of shards grows with the failure domains: with the hash alone, a job could change its
    shard and be recorded and run twice. The row of a declared job is never removed, since the job must not run again after its
    record has been removed; the row of a submitted job is removed with the record. All members may be called from any thread.
*/
class JobShardIndex
{
public:
    JobShardIndex(TableService &table, int shardsPerDomain);

    /** Sets the failure domains whose shards new jobs are recorded in. */
    void setDomains(const ShardMap::Domains &domains);

    /** All shards of the current failure domains. */
    std::vector<ShardId> shards() const;

    /** The shard of a recorded job, or the shard to record a new job in. @return empty on failure */
    std::optional<ShardId> assign(const JobId &job, TimePoint deadline, Failure &failure);

    /** The shard of a recorded job. @return empty on failure, with UnknownName if there is no such job */
    std::optional<ShardId> find(const JobId &job, TimePoint deadline, Failure &failure);

    /** The id of a job that a team submits with this idempotency key. */
    static JobId submittedId(const TeamId &team, const std::string &idempotencyKey);

    /** True for the id of a submitted job, false for that of a job declared in the configuration. */
    static bool isSubmitted(const JobId &job);

    static std::string rowKey(const JobId &job);

private:
    std::optional<ShardId> chooseShard(const JobId &job, Failure &failure) const;
    std::optional<ShardId> findKnownShard(const JobId &job) const;
    void rememberShard(const JobId &job, const ShardId &shard);

    TableService &table_;
    const int shardsPerDomain_;
    mutable std::mutex mutex_;
    std::vector<ShardId> shards_;
    std::map<JobId, ShardId> knownShards_;
};

} // namespace auburndoor
