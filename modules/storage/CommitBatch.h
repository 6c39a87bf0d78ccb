#pragma once

#include "core/Failure.h"
#include "storage/TableService.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <set>

namespace auburndoor {

struct CommitMember;

/** Transactions of several members merged into one, with the data that splits its outcome among the members. Not thread-safe. */
class CommitBatch
{
public:
    /** The transaction of one member within the batch. */
    struct Part
    {
        /** Null while no caller waits for the outcome of this part. */
        CommitMember *member = nullptr;
        /** The id of the member's own transaction. */
        std::string id;
        std::vector<RowCheck> checks;
        /** The index of its first write in the merged transaction. */
        std::size_t firstWrite = 0;
        std::size_t writeCount = 0;
    };

    /**
        Merges a transaction unless a row written by one side is checked or written by the other, a row is checked for different
        versions, or a limit would be exceeded. The first transaction is always accepted.

        A batch of one transaction has the id of that transaction; with the second one it gets a new id.

        @param rowLimit  the most writes of the merged transaction
        @param byteLimit the most bytes of its keys and values
        @return false if the transaction was not merged
    */
    bool tryAdd(const Transaction &transaction, std::size_t rowLimit, std::size_t byteLimit);

    const Transaction &merged() const
    {
        return merged_;
    }

    std::vector<Part> &parts()
    {
        return parts_;
    }

    /** The result of one part of a committed batch. @param result the result of the batch, Committed */
    static CommitResult makePartResult(const Part &part, const CommitResult &result);

    /** The rows that failed checks of a part; empty if its checks hold. @param result the result of the batch, Conflict */
    static std::vector<TableRow> findFailedRows(const Part &part, const CommitResult &result);

    /** When the members were collected. */
    TimePoint formedAt;
    /** True once an attempt of unknown outcome may have arrived. From then on only the same transaction may be sent. */
    bool mayHaveArrived = false;
    /** True if a token of the write budget has been taken for the next attempt. */
    bool hasToken = true;
    /** True while one of the members is in the state Sending. */
    bool hasSender = true;
    /** The outcome, once it is definite. */
    std::optional<CommitResult> outcome;

private:
    bool isMergeable(const Transaction &transaction) const;

    Transaction merged_;
    std::vector<Part> parts_;
    std::set<std::string> writtenKeys_;
    std::map<std::string, long long> checkedVersions_;
    std::size_t byteCount_ = 0;
};

/** A call of GroupCommitter::commit(). Guarded by the committer's mutex, except for isInBatch. */
struct CommitMember
{
    enum class State {
        /** Waits in the queue of its purpose. */
        Queued,
        /** First of its queue: waits for the end of the merge window and for a token, then forms the next batch. */
        Forming,
        /** In a batch that another member sends. */
        InFlight,
        /** Sends its batch to the table. */
        Sending,
        /** Has its result; commit() returns. */
        Completed,
    };

    CommitMember(const Transaction &source, TimePoint latest, TimePoint now) : transaction(source), deadline(latest), arrival(now)
    {
    }

    const Transaction &transaction;
    const TimePoint deadline;
    const TimePoint arrival;
    State state = State::Queued;
    /** True once the member is in a batch, which ends its wait for a token. */
    std::atomic<bool> isInBatch = false;
    /** True after the table has refused its batch as malformed or too large; the member then gets a batch of its own. */
    bool mustCommitAlone = false;
    std::condition_variable condition;
    std::shared_ptr<CommitBatch> batch;
    /** The index of its part in the batch. */
    std::size_t part = 0;
    CommitResult result;
    Failure failure;
};

} // namespace auburndoor
