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

    The shard is chosen by a hash of the job's id when the job is first submitted, and kept in the row "job-index/<id>": the set of
   shards grows with the failure domains, and a job that moved with the hash could be recorded and run twice. Any thread.
*/
class JobDirectory
{
public:
    JobDirectory(TableService &table, int shardsPerDomain);

    /** The failure domains whose shards jobs are given to. */
    void setDomains(const ShardMap::Domains &domains);

    /** All shards that jobs may be recorded in. */
    std::vector<ShardId> shards() const;

    /** The shard of a job, chosen and recorded now if the job is new. @return empty on failure */
    std::optional<ShardId> assign(const JobId &job, TimePoint deadline, Failure &failure);

    /** The shard of a known job. @return empty on failure, with UnknownName if there is no such job */
    std::optional<ShardId> find(const JobId &job, TimePoint deadline, Failure &failure);

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
