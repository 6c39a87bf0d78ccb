#pragma once

#include "core/Clock.h"

#include <optional>
#include <string>
#include <vector>

namespace auburndoor {

struct Failure;

/** One row of the platform's transactional table. */
struct TableRow
{
    std::string key;
    std::string value;
    /** Grows with each write of the row; 0 for an absent row. */
    long long version = 0;
};

/** A condition of a transaction: the row has this version, or is absent if the version is 0. */
struct RowCheck
{
    std::string key;
    long long version = 0;
};

/** A write of a transaction; without a value it deletes the row. */
struct RowWrite
{
    std::string key;
    std::optional<std::string> value;
};

/** What a write is for. The write budget serves purposes in this order. */
enum class WritePurpose {
    Ownership,
    RequestRecord,
    Configuration,
    JobProgress,
    Logbook,
};

/** Checks and writes that take effect together or not at all. */
struct Transaction
{
    /** A unique id, by which the table returns the first outcome to a repeated commit. */
    std::string id;
    std::vector<RowCheck> checks;
    std::vector<RowWrite> writes;
    WritePurpose purpose = WritePurpose::Ownership;
};

/** The outcome of a commit. */
enum class CommitStatus {
    Committed,
    /** A check failed; nothing was written. */
    Conflict,
    /** Nothing was written, and nothing will be: the table refused it, or it was never sent. */
    NotWritten,
    /** The answer was lost and not obtained again before the deadline. The transaction may have taken or may still take effect. */
    Unknown,
};

/** The outcome of a commit with the versions or conflicts that belong to it. */
struct CommitResult
{
    CommitStatus status = CommitStatus::NotWritten;
    /** Committed: the new version of each written row, in the order of the writes (0 for a deleted one). */
    std::vector<long long> versions;
    /** Conflict: the current state of each row whose check failed (version 0 and no value for an absent one). */
    std::vector<TableRow> conflicts;
};

/** The platform's transactional table. All members may be called from any thread; each blocks until its deadline at most. */
class TableService
{
public:
    virtual ~TableService() = default;

    /** Reads one row; an absent row has version 0. @return empty on failure */
    virtual std::optional<TableRow> read(const std::string &key, TimePoint deadline, Failure &failure) = 0;

    /** Reads all rows whose key starts with the prefix, in the order of their keys. @return empty on failure */
    virtual std::optional<std::vector<TableRow>> readPrefix(const std::string &prefix, TimePoint deadline, Failure &failure) = 0;

    /** Commits a transaction, and repeats it with the same id until its outcome is known or the deadline has passed. */
    virtual CommitResult commit(const Transaction &transaction, TimePoint deadline, Failure &failure) = 0;
};

} // namespace auburndoor
