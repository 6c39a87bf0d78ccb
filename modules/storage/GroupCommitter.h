#pragma once

#include "storage/TableService.h"

#include <array>
#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>

namespace auburndoor {

class CommitBatch;
class Metrics;
class WriteBudget;
struct CommitMember;
struct Failure;

/** Limits of a merged transaction. */
struct GroupCommitOptions
{
    /** How long the first transaction waits for others. */
    Milliseconds window { 5 };
    /**
        The shortest time between two batches, unless the row limit is reached; ownership writes do not wait for it. It bounds an
        instance with steady load to 60 transactions a second; after an idle time it delays nothing.
    */
    Milliseconds spacing { 17 };
    /** Writes of a merged transaction; a larger transaction of one caller is committed alone. */
    std::size_t rowLimit = 100;
    /** Bytes of keys and values; keeps merged requests below the table's limit of 1 MiB, whatever the JSON escapes add. */
    std::size_t byteLimit = 128 * 1024;
};

/**
    Merges transactions that arrive close together into one transaction of another table service, under a write budget.

    Transactions are merged if no row written by one is checked or written by another. A member whose check fails gets its own
    Conflict, and the others are committed again without it. A commit returns shortly before its deadline: as NotWritten if no
    attempt of it may have arrived, else as Unknown. Committing a transaction again after Unknown returns its first outcome, for as
    long as the table remembers it; other outcomes are not remembered. Reads pass through.

    There is no thread of its own: one caller of each batch leads it (see docs/decisions/0002-group-commit-and-write-budget.md).
    All callers must have returned before it is destroyed.
*/
class GroupCommitter : public TableService
{
public:
    /** All references must outlive this object. */
    GroupCommitter(TableService &table, WriteBudget &budget, Clock &clock, Metrics &metrics, GroupCommitOptions options = {});
    ~GroupCommitter() override;
    GroupCommitter(const GroupCommitter &) = delete;
    GroupCommitter &operator=(const GroupCommitter &) = delete;

    std::optional<TableRow> read(const std::string &key, TimePoint deadline, Failure &failure) override;
    std::optional<std::vector<TableRow>> readPrefix(const std::string &prefix, TimePoint deadline, Failure &failure) override;
    CommitResult commit(const Transaction &transaction, TimePoint deadline, Failure &failure) override;

private:
    using Lock = std::unique_lock<std::mutex>;

    /** Attempts end this long before the earliest deadline of their members, so that a definite outcome still reaches them. */
    static constexpr Milliseconds settleMargin { 20 };

    /** A batch that one of its members had to leave with the outcome open. */
    struct OpenOutcome
    {
        std::shared_ptr<CommitBatch> batch;
        std::size_t part = 0;
    };

    void enqueue(CommitMember &member, bool isAtFront);
    void removeFromQueue(CommitMember &member);
    void promoteLeaders();
    bool isExpired(const CommitMember &member) const;
    static void settle(CommitMember &member, CommitResult result, Failure failure);

    void waitAsFollower(Lock &lock, CommitMember &member);
    void form(Lock &lock, CommitMember &leader);
    void collect(CommitMember &leader);

    void drive(Lock &lock, CommitMember &driver);
    void settleBatch(CommitBatch &batch, const Failure &failure, bool isBeforeEnd);
    void settleConflict(CommitBatch &batch, const Failure &failure);
    void settleNotWritten(CommitBatch &batch, const Failure &failure, bool isBeforeEnd);
    void settleUnknown(const std::shared_ptr<CommitBatch> &batch, const Failure &failure);
    void requeue(CommitMember &member, const Failure &failure);

    void leaveOpen(CommitMember &member, const Failure &failure);
    bool resume(CommitMember &member);
    void dropOldOutcomes();

    TableService &table_;
    WriteBudget &budget_;
    Clock &clock_;
    Metrics &metrics_;
    const GroupCommitOptions options_;
    std::mutex mutex_;
    /** Waiting members by purpose. */
    std::array<std::deque<CommitMember *>, 5> queues_;
    /** The member of each queue that is in the state Forming; null if the queue is empty. */
    std::array<CommitMember *, 5> leaders_ {};
    std::size_t queuedRows_ = 0;
    TimePoint lastFormedAt_;
    std::map<std::string, OpenOutcome> open_;
    /** When the batches of open_ were formed, and the ids, in the order in which they were recorded. */
    std::deque<std::pair<TimePoint, std::string>> openOrder_;
};

} // namespace auburndoor
