#pragma once

#include "jobs/Job.h"
#include "storage/TableService.h"

#include <optional>
#include <vector>

namespace auburndoor {

struct Failure;

enum class SubmitStatus {
    Recorded,
    /** The same job was recorded before; nothing was changed. The job is empty if its record has been removed since. */
    AlreadyRecorded,
    /** Another job has this id. */
    DifferentJob,
    /** Definite: it was not recorded. */
    NotRecorded,
    /** It may be recorded; submitting it again gives the answer. */
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
    /** The job's row has changed, as by a cancel: load it again. */
    JobChanged,
    /** The shard's row has changed: this instance does not own it any more. */
    ShardChanged,
    /** Definite: nothing was written. */
    NotSaved,
    /** It may have been written; save the same transaction again. */
    Unknown,
};

/**
    The records of jobs in the platform's table. Any thread.

    A job that has not ended has the row "job/<shard>/<id>". The transaction that ends it moves it to "job-ended/<shard>/<id>", so
    that the owner of a shard reads only what it has to drive. Submissions and cancels also write the row "job-change/<shard>",
    which the owner polls in case the message that should tell it was lost.
*/
class JobStore
{
public:
    /** @param table and clock must outlive the store */
    JobStore(TableService &table, Clock &clock);

    /** Records a job if its id is not yet known in the shard; does no harm when repeated. */
    Submission submit(const ShardId &shard, const JobDeclaration &declaration, TimePoint deadline, Failure &failure);

    /** Marks a job as cancelled, for its owner to carry out. @return the job as recorded; empty on failure, with UnknownName if
     * there is no such job */
    std::optional<Job> cancel(const ShardId &shard, const JobId &id, TimePoint deadline, Failure &failure);

    /** One job, whether it has ended or not. @return empty on failure, with UnknownName if there is no such job */
    std::optional<Job> load(const ShardId &shard, const JobId &id, TimePoint deadline, Failure &failure);

    /** The jobs of a shard that have not ended. Rows that cannot be read are logged and left out. @return empty on failure */
    std::optional<std::vector<Job>> loadShard(const ShardId &shard, TimePoint deadline, Failure &failure);

    /** A number that changes when a job of the shard is submitted or cancelled. @return empty on failure */
    std::optional<long long> changeMark(const ShardId &shard, TimePoint deadline, Failure &failure);

    /** The transaction that saves a job if neither its row nor the shard's row has changed. */
    Transaction makeSave(const Job &job, long long shardRowVersion) const;

    /** Commits a transaction of makeSave(). @param version Saved: the new version of the job's row */
    SaveStatus save(const Transaction &transaction, TimePoint deadline, long long &version, Failure &failure);

    /** Deletes the records of jobs that ended before the given time. @return the number of deleted records; empty on failure */
    std::optional<int> removeEnded(const ShardId &shard, WallTime before, TimePoint deadline, Failure &failure);

private:
    std::optional<Job> readJob(const std::string &key, TimePoint deadline, Failure &failure);
    RowWrite changeWrite(const ShardId &shard, const JobId &id) const;

    TableService &table_;
    Clock &clock_;
};

} // namespace auburndoor
