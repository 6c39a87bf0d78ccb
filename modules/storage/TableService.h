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
    /** Rises with each write of the row; 0 stands for an absent row. */
    long long version = 0;
};

/** One condition of a transaction: the row has this version; 0 means that it is absent. */
struct RowCheck
{
    std::string key;
    long long version = 0;
};

/** One write of a transaction; without a value the row is deleted. */
struct RowWrite
{
    std::string key;
    std::optional<std::string> value;
};

/** What a write is for, in falling priority under the write budget. */
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
    /** Makes a repeated commit return the first outcome; unique. */
    std::string id;
    std::vector<RowCheck> checks;
    std::vector<RowWrite> writes;
    WritePurpose purpose = WritePurpose::Ownership;
};

enum class CommitStatus {
    Committed,
    /** A check failed; nothing was written. */
    Conflict,
    /** Nothing was written, and nothing will be: the table refused it, or it was never sent. */
    NotWritten,
    /** The answer was lost and could not be obtained again before the deadline; it may take effect. */
    Unknown,
};

struct CommitResult
{
    CommitStatus status = CommitStatus::NotWritten;
    /** Committed: the new version of each written row, in the order of the writes (0 for a deleted one). */
    std::vector<long long> versions;
    /** Conflict: the present state of each row whose check failed (version 0 and no value for an absent one). */
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

    /** Commits a transaction; repeats it with the same id until its outcome is known or the deadline has passed. */
    virtual CommitResult commit(const Transaction &transaction, TimePoint deadline, Failure &failure) = 0;
};

} // namespace auburndoor
