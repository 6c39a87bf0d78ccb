#include "jobs/JobStore.h"

#include "core/Failure.h"
#include "core/RandomId.h"
#include "jobs/JobShardIndex.h"
#include "logbook/Logbook.h"
#include "observability/Log.h"

#include <algorithm>

namespace auburndoor {

namespace {

/** The number of writes at which removeEnded() stops adding records; the table merges writes up to this limit. */
constexpr std::size_t rowsPerTransaction = 100;
/** A cancel may conflict with the owner's saves of the job, of which there is at most one in each round. */
constexpr int maximumCancelAttempts = 10;

/** The maximum number of tasks listed in a logbook entry; the others are only counted. */
constexpr std::size_t maximumSummaryLines = 20;

/** Creates the logbook entry for a change of a job. For a job that has ended, the entry names the worker of each task. */
LogbookEntry makeLogbookEntry(const Job &job, const std::string &action, const std::string &id, WallTime time)
{
    LogbookEntry entry;
    entry.time = time;
    entry.id = id;
    entry.action = action;
    entry.operatorName = job.declaration.team.text();
    entry.summary = { "job " + job.declaration.id.text() + ", " + std::to_string(job.tasks.size()) + " tasks" };
    for (std::size_t index = 0; job.hasEnded() && index < job.tasks.size(); ++index) {
        if (entry.summary.size() > maximumSummaryLines) {
            entry.summary.push_back("and " + std::to_string(job.tasks.size() - index) + " more");
            break;
        }
        const auto &task = job.tasks[index];
        entry.summary.push_back("task " + std::to_string(index) + ": " + std::string(name(task.phase)) + " on "
                                + task.worker.text());
    }
    return entry;
}

std::string activePrefix(const ShardId &shard)
{
    return "job/" + shard.text() + "/";
}

std::string endedPrefix(const ShardId &shard)
{
    return "job-ended/" + shard.text() + "/";
}

std::string shardKey(const ShardId &shard)
{
    return "shard/" + shard.text();
}

std::optional<Job> decodeRow(const TableRow &row, Failure &failure)
{
    auto job = decodeJob(row.value);
    if (!job) {
        failure = { FailureStep::ReadTable,
                    "table",
                    FailureReason::MalformedInput,
                    "the row " + row.key + " does not hold a valid job record" };
        Log::failure("job-record-unreadable", failure);
        return std::nullopt;
    }
    job->version = row.version;
    return job;
}

} // namespace

JobStore::JobStore(TableService &table, Clock &clock) : table_(table), clock_(clock)
{
}

Submission JobStore::submit(const ShardId &shard, const JobDeclaration &declaration, TimePoint deadline, Failure &failure)
{
    auto job = makeJob(shard, declaration, clock_.wallNow());
    const auto key = activePrefix(shard) + declaration.id.text();
    const auto endedKey = endedPrefix(shard) + declaration.id.text();
    Transaction transaction { makeRandomId(), {}, {}, WritePurpose::JobProgress };
    const auto indexKey = JobShardIndex::rowKey(declaration.id);
    const auto entry = makeLogbookEntry(job, "job-submitted", transaction.id, job.submitted);
    transaction.checks = { { key, 0 }, { endedKey, 0 }, { indexKey, 0 } };
    transaction.writes = { { key, encode(job) },
                           { indexKey, shard.text() },
                           { entry.rowKey(), entry.rowValue() },
                           makeChangeWrite(shard, declaration.id) };
    const auto result = table_.commit(transaction, deadline, failure);
    switch (result.status) {
    case CommitStatus::Committed:
        job.version = result.versions.front();
        return { SubmitStatus::Recorded, job };
    case CommitStatus::NotWritten:
        return { SubmitStatus::NotRecorded, {} };
    case CommitStatus::Unknown:
        return { SubmitStatus::Unknown, {} };
    case CommitStatus::Conflict:
        break;
    }
    const auto record = std::find_if(result.conflicts.begin(), result.conflicts.end(), [&](const TableRow &row) {
        return row.key == key || row.key == endedKey;
    });
    if (record == result.conflicts.end()) {
        // Only the index row exists: the record has been removed, or another instance has recorded the job in another shard.
        return { SubmitStatus::AlreadyRecorded, {} };
    }
    const auto recorded = decodeRow(*record, failure);
    if (!recorded || !isSameDeclaration(recorded->declaration, declaration)) {
        failure = { FailureStep::Record,
                    "table",
                    FailureReason::DuplicateKey,
                    "another job is recorded under the id " + declaration.id.text() };
        return { SubmitStatus::DifferentJob, {} };
    }
    return { SubmitStatus::AlreadyRecorded, recorded };
}

std::optional<Job> JobStore::cancel(const ShardId &shard, const JobId &id, TimePoint deadline, Failure &failure)
{
    const auto key = activePrefix(shard) + id.text();
    for (int attempt = 0; attempt < maximumCancelAttempts && clock_.now() < deadline; ++attempt) {
        auto job = load(shard, id, deadline, failure);
        if (!job || job->phase != JobPhase::Active) {
            return job;
        }
        job->phase = JobPhase::Cancelling;
        job->reason = "cancelled";
        const Transaction transaction { makeRandomId(),
                                        { { key, job->version } },
                                        { { key, encode(*job) }, makeChangeWrite(shard, id) },
                                        WritePurpose::JobProgress };
        const auto result = table_.commit(transaction, deadline, failure);
        if (result.status == CommitStatus::Committed) {
            job->version = result.versions.front();
            return job;
        }
        if (result.status == CommitStatus::NotWritten) {
            return std::nullopt;
        }
    }
    failure.step = FailureStep::Cancel;
    return std::nullopt;
}

std::optional<Job> JobStore::load(const ShardId &shard, const JobId &id, TimePoint deadline, Failure &failure)
{
    // The record moves only once, from the active to the ended row, so reading in this order cannot miss it.
    auto job = readJob(activePrefix(shard) + id.text(), deadline, failure);
    if (!job && failure.reason == FailureReason::UnknownName) {
        job = readJob(endedPrefix(shard) + id.text(), deadline, failure);
    }
    return job;
}

std::optional<std::vector<Job>> JobStore::loadShard(const ShardId &shard, TimePoint deadline, Failure &failure)
{
    const auto rows = table_.readPrefix(activePrefix(shard), deadline, failure);
    if (!rows) {
        return std::nullopt;
    }
    std::vector<Job> jobs;
    for (const auto &row : *rows) {
        if (auto job = decodeRow(row, failure)) {
            jobs.push_back(*std::move(job));
        }
    }
    return jobs;
}

std::optional<long long> JobStore::changeVersion(const ShardId &shard, TimePoint deadline, Failure &failure)
{
    const auto row = table_.read("job-change/" + shard.text(), deadline, failure);
    return row ? std::optional(row->version) : std::nullopt;
}

Transaction JobStore::makeSave(const Job &job, long long shardRowVersion) const
{
    const auto key = activePrefix(job.shard) + job.declaration.id.text();
    Transaction transaction {
        makeRandomId(), { { shardKey(job.shard), shardRowVersion }, { key, job.version } }, {}, WritePurpose::JobProgress
    };
    if (job.hasEnded()) {
        const auto entry = makeLogbookEntry(job, "job-" + std::string(name(job.phase)), transaction.id, job.ended);
        transaction.writes = { { entry.rowKey(), entry.rowValue() },
                               { key, std::nullopt },
                               { endedPrefix(job.shard) + job.declaration.id.text(), encode(job) } };
    } else {
        transaction.writes = { { key, encode(job) } };
    }
    return transaction;
}

SaveStatus JobStore::save(const Transaction &transaction, TimePoint deadline, long long &version, Failure &failure)
{
    const auto result = table_.commit(transaction, deadline, failure);
    switch (result.status) {
    case CommitStatus::Committed:
        version = result.versions.empty() ? 0 : result.versions.back();
        return SaveStatus::Saved;
    case CommitStatus::NotWritten:
        return SaveStatus::NotSaved;
    case CommitStatus::Unknown:
        return SaveStatus::Unknown;
    case CommitStatus::Conflict:
        break;
    }
    const auto &shard = transaction.checks.front().key;
    const auto isShard = std::any_of(
        result.conflicts.begin(), result.conflicts.end(), [&](const TableRow &row) { return row.key == shard; });
    return isShard ? SaveStatus::ShardChanged : SaveStatus::JobChanged;
}

std::optional<int> JobStore::removeEnded(const ShardId &shard, WallTime endedBefore, TimePoint deadline, Failure &failure)
{
    const auto rows = table_.readPrefix(endedPrefix(shard), deadline, failure);
    if (!rows) {
        return std::nullopt;
    }
    Transaction transaction { makeRandomId(), {}, {}, WritePurpose::JobProgress };
    for (const auto &row : *rows) {
        const auto job = decodeRow(row, failure);
        if (job && job->ended < endedBefore && transaction.writes.size() < rowsPerTransaction) {
            transaction.checks.push_back({ row.key, row.version });
            transaction.writes.push_back({ row.key, std::nullopt });
            if (JobShardIndex::isSubmitted(job->declaration.id)) {
                transaction.writes.push_back({ JobShardIndex::rowKey(job->declaration.id), std::nullopt });
            }
        }
    }
    if (transaction.writes.empty()) {
        return 0;
    }
    const auto result = table_.commit(transaction, deadline, failure);
    return result.status == CommitStatus::Committed ? std::optional(static_cast<int>(transaction.checks.size())) : std::nullopt;
}

std::optional<Job> JobStore::readJob(const std::string &key, TimePoint deadline, Failure &failure)
{
    const auto row = table_.read(key, deadline, failure);
    if (!row) {
        return std::nullopt;
    }
    if (row->version == 0) {
        failure = { FailureStep::ReadTable, "table", FailureReason::UnknownName, "the table has no row " + key };
        return std::nullopt;
    }
    return decodeRow(*row, failure);
}

RowWrite JobStore::makeChangeWrite(const ShardId &shard, const JobId &id) const
{
    return { "job-change/" + shard.text(), id.text() };
}

} // namespace auburndoor
