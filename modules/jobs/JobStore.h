#pragma once

#include "jobs/Job.h"
#include "storage/TableService.h"

#include <optional>
#include <vector>

namespace auburndoor {

struct Failure;

enum class SubmitStatus {
    Recorded,
    /** The same job was recorded before; nothing was written. Submission::job is empty if its record was not found in the shard. */
    AlreadyRecorded,
    /** Another job is recorded under this id, or its record cannot be read. */
    DifferentJob,
    /** The job was not recorded and will not be. */
    NotRecorded,
    /** The job may have been recorded; submit it again to find out. */
    Unknown,
};

struct Submission
{
    SubmitStatus status = SubmitStatus::NotRecorded;
    /** Recorded and AlreadyRecorded: the job as it is recorded now. */
    std::optional<Job> job;
};

enum class SaveStatus {
    Saved,
    /** The job's row has changed, for example by a cancel: load it again. */
    JobChanged,
    /** The shard's row has changed: this instance does not own the shard any more. */
    ShardChanged,
    /** Nothing was written and nothing will be. */
    NotSaved,
    /** The transaction may have been committed; save it again to find out. */
    Unknown,
};

/**
    Reads and writes the records of jobs in the platform's table. All members may be called from any thread; each blocks until its
    deadline at most.

    A job that has not ended has the row "job/<shard>/<id>". The transaction that ends it moves it to "job-ended/<shard>/<id>", so
    that the owner of a shard reads only the jobs that it has to drive. Submissions and cancels also write the row
    "job-change/<shard>", which the owner polls in case the message that notifies it was lost.
*/
class JobStore
{
public:
    /** @param table and clock must outlive the store */
    JobStore(TableService &table, Clock &clock);

    /** Records a job if neither the shard nor the job index has its id. It can be repeated safely. */
    Submission submit(const ShardId &shard, const JobDeclaration &declaration, TimePoint deadline, Failure &failure);

    /**
        Records that an active job is being cancelled; the owner of the shard then stops its tasks.

        @return the job as recorded; empty on failure, with UnknownName if there is no such job
    */
    std::optional<Job> cancel(const ShardId &shard, const JobId &id, TimePoint deadline, Failure &failure);

    /** Reads one job, whether it has ended or not. @return empty on failure, with UnknownName if there is no such job */
    std::optional<Job> load(const ShardId &shard, const JobId &id, TimePoint deadline, Failure &failure);

    /** Reads the jobs of a shard that have not ended. Malformed rows are logged and left out. @return empty on failure */
    std::optional<std::vector<Job>> loadShard(const ShardId &shard, TimePoint deadline, Failure &failure);

    /** Reads a version that changes when a job of the shard is submitted or cancelled. @return empty on failure */
    std::optional<long long> changeVersion(const ShardId &shard, TimePoint deadline, Failure &failure);

    /** Creates the transaction that saves a job if neither its row nor the shard's row has changed. */
    Transaction makeSave(const Job &job, long long shardRowVersion) const;

    /** Commits a transaction of makeSave(). @param version receives the new version of the job's row if the result is Saved */
    SaveStatus save(const Transaction &transaction, TimePoint deadline, long long &version, Failure &failure);

    /**
        Deletes records of jobs that ended before the given time, in one transaction, which may not cover all of them.

        @return the number of deleted records; empty on failure
    */
    std::optional<int> removeEnded(const ShardId &shard, WallTime endedBefore, TimePoint deadline, Failure &failure);

private:
    std::optional<Job> readJob(const std::string &key, TimePoint deadline, Failure &failure);
    RowWrite makeChangeWrite(const ShardId &shard, const JobId &id) const;

    TableService &table_;
    Clock &clock_;
};

} // namespace auburndoor
