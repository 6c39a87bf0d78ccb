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
    Knows in which shard each job is recorded.

    The shard is chosen by a hash of the job's id when the job is first submitted, and JobStore keeps it in the row
   "job-index/<id>", written with the job: the set of shards grows with the failure domains, and a job that moved with the hash
   could be recorded and run twice. The row of a declared job is kept for good, since its job must not run again after its record
   has been removed; that of a submitted job goes with the record. Any thread.
*/
class JobShardIndex
{
public:
    JobShardIndex(TableService &table, int shardsPerDomain);

    /** The failure domains whose shards jobs are given to. */
    void setDomains(const ShardMap::Domains &domains);

    /** All shards that jobs may be recorded in. */
    std::vector<ShardId> shards() const;

    /** The shard of a job; the one to record it in if the job is new. @return empty on failure */
    std::optional<ShardId> assign(const JobId &job, TimePoint deadline, Failure &failure);

    /** The shard of a known job. @return empty on failure, with UnknownName if there is no such job */
    std::optional<ShardId> find(const JobId &job, TimePoint deadline, Failure &failure);

    /** The identifier of a job that a team submits. */
    static JobId submittedId(const TeamId &team, const std::string &idempotencyKey);

    /** True for a job that was submitted, false for one that the file declares. */
    static bool isSubmitted(const JobId &job);

    static std::string rowKey(const JobId &job);

private:
    std::optional<ShardId> choose(const JobId &job, Failure &failure) const;
    std::optional<ShardId> remembered(const JobId &job) const;
    void remember(const JobId &job, const ShardId &shard);

    TableService &table_;
    const int shardsPerDomain_;
    mutable std::mutex mutex_;
    std::vector<ShardId> shards_;
    std::map<JobId, ShardId> known_;
};

} // namespace auburndoor
