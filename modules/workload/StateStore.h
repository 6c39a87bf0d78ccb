#pragma once

#include "core/Clock.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace auburndoor {

/** A row of the store. */
struct StoreRow
{
    std::string table;
    std::string key;
    std::string value;
    /** Zero means that there is no such row. */
    std::int64_t version = 0;
    /** In changes: the row was removed. */
    bool isRemoved = false;
};

/** A transaction: all of it is applied, if each expected row has its version, or nothing. */
struct StoreChange
{
    struct Expectation
    {
        std::string table;
        std::string key;
        std::int64_t version = 0;
    };
    std::vector<Expectation> expected;
    std::vector<StoreRow> writes;
    std::vector<StoreRow> removals;

    std::size_t entryCount() const
    {
        return expected.size() + writes.size() + removals.size();
    }
};

enum class StoreOutcome {
    Done,
    /** An expected version did not hold; nothing was applied. */
    Conflict,
    /** The history that was asked for is no longer kept. */
    HistoryCompacted,
    /** Refused or unreachable: nothing was applied. */
    NotDone,
    /** No answer: it may have been applied, or may be later while its expectations hold. */
    Unknown,
};

std::string_view name(StoreOutcome outcome);

struct StoreResult
{
    StoreOutcome outcome = StoreOutcome::Unknown;
    /** The version of the change, or the newest one that a read covers. */
    std::int64_t version = 0;
    /** Rows read, changes, or after a conflict the present rows of the expectations. */
    std::vector<StoreRow> rows;
    std::string detail;
};

/**
    The platform's store of rows. Calls run side by side; callbacks come from the loop's thread, never from within a call.
*/
class StateStore
{
public:
    using Callback = std::function<void(StoreResult)>;

    virtual ~StateStore() = default;

    virtual void commit(StoreChange change, Callback callback) = 0;

    /** Reads all rows of a table whose keys are at least `from`, over several pages if need be; empty `from` for all. */
    virtual void readAll(const std::string &table, const std::string &from, Callback callback) = 0;

    /** Reads one row; the result has no rows if there is none. */
    virtual void readRow(const std::string &table, const std::string &key, Callback callback) = 0;

    /** Changes of a table after a version, in order; waits for the first one. */
    virtual void changes(const std::string &table, std::int64_t after, Milliseconds wait, Callback callback) = 0;
};

} // namespace auburndoor
