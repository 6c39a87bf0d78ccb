#pragma once

#include "core/Clock.h"
#include "workload/StoreTimeSpan.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace auburndoor {

/** A row of the store. */
struct StoreRow
{
    std::string table;
    std::string key;
    std::string value;
    /** The version of the row; zero if there is no such row. */
    std::int64_t version = 0;
    /** In results of StateStore::changes(): the row was removed. */
    bool isRemoved = false;
};

/** A transaction: if every expected row has the given version, all writes and removals are applied, otherwise none. */
struct StoreChange
{
    /** A precondition: the row has this version; zero if it must not exist. */
    struct Expectation
    {
        std::string table;
        std::string key;
        std::int64_t version = 0;
    };
    std::vector<Expectation> expected;
    std::vector<StoreRow> writes;
    std::vector<StoreRow> removals;

    /** The number of expectations, writes and removals together. */
    std::size_t entryCount() const
    {
        return expected.size() + writes.size() + removals.size();
    }
};

/** The outcome of a call to the store. */
enum class StoreOutcome {
    Done,
    /** A row did not have its expected version; nothing was applied. */
    Conflict,
    /** The store no longer keeps the changes after the requested version. */
    HistoryCompacted,
    /** The store refused the call or could not be reached; nothing was applied. */
    NotDone,
    /** The store does not take this call, such as one with a row that is too large, and never will; nothing was applied. */
    Rejected,
    /** No reply: the change may have been applied, or may still be applied later if its expectations then hold. */
    Unknown,
};

/** The outcome's name in log events. */
std::string_view name(StoreOutcome outcome);

/** The result of a call to the store. */
struct StoreResult
{
    StoreOutcome outcome = StoreOutcome::Unknown;
    /** Of a commit: the version that it created. Of a read: the newest version that it covers. */
    std::int64_t version = 0;
    /** The rows read, the changes, or, after a conflict, the current rows that the expectations name. */
    std::vector<StoreRow> rows;
    /** Describes a failure, for logs. */
    std::string detail = {};
    /** Of StateStore::readPage(): the first key of the next page; empty after the last one. */
    std::string nextPageKey = {};
    /** Of a read: the store's clock; empty if the replies do not tell. */
    std::optional<StoreTimeSpan> time = {};
    /** Of a read: the bytes of the replies, and the time from the first to the last of them; also if a reply broke off. */
    std::size_t receivedBytes = 0;
    Milliseconds receiveDuration { 0 };
};

/**
    Asynchronous client of the platform's row store.

    Several calls may be in flight at once. Each callback is called from the loop's thread, never from within the call.
*/
class StateStore
{
public:
    using Callback = std::function<void(StoreResult)>;

    virtual ~StateStore() = default;

    /** Applies a transaction. */
    virtual void commit(StoreChange change, Callback callback) = 0;

    /** Reads the rows of a table from firstKey on, in several requests if needed; an empty firstKey reads the whole table. */
    virtual void readAll(const std::string &table, const std::string &firstKey, Callback callback) = 0;

    /** Reads rows of a table from firstKey on, as many as the store returns in one request. */
    virtual void readPage(const std::string &table, const std::string &firstKey, Callback callback) = 0;

    /** Reads one row; the result has no rows if there is none. */
    virtual void readRow(const std::string &table, const std::string &key, Callback callback) = 0;

    /** Reads the changes of a table after a version, in order; if there are none yet, waits up to maxWait for the first one. */
    virtual void changes(const std::string &table, std::int64_t afterVersion, Milliseconds maxWait, Callback callback) = 0;

    /**
        The replies of the readAll() and changes() of a table that are in flight are not needed any more, and are not to use the
       link. These calls end, as Unknown or with their results.
    */
    virtual void abandonReads(const std::string &table) = 0;
};

} // namespace auburndoor
