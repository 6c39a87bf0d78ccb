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

/** Settings of a GroupCommitter. */
struct GroupCommitOptions
{
    /** How long the first transaction of a batch waits for others. */
    Milliseconds mergeWindow { 5 };
    /**
        The shortest time between two batches, unless the row limit is reached; ownership writes do not wait for it. It limits an
        instance with steady load to 60 transactions a second, and delays nothing after an idle time.
    */
    Milliseconds batchSpacing { 17 };
    /** The most writes of a merged transaction. A larger transaction of one caller is committed alone. */
    std::size_t rowLimit = 100;
    /** The most bytes of keys and values; keeps a merged request below the table's limit of 1 MiB whatever JSON escapes add. */
    std::size_t byteLimit = 128 * 1024;
};

/**
    Merges transactions that arrive close together into one transaction of another table service, under a write budget.

    Transactions are merged if no row written by one is checked or written by another. A transaction whose check fails gets its own
    Conflict, and the others are committed again without it. Without an outcome, a commit returns shortly before its deadline:
    NotWritten if no attempt of it may have arrived, else Unknown. Committing a transaction again after Unknown returns its first
    outcome, for as long as the table remembers it; other outcomes are not remembered. Reads are passed to the other table service.

    Thread-safe. It has no thread of its own: one of the callers forms and sends each batch (see
    docs/decisions/0002-group-commit-and-write-budget.md). All callers must have returned before it is destroyed.
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

    /** Attempts end this long before the earliest deadline of the members, so that a member can still return a definite outcome. */
    static constexpr Milliseconds completionMargin { 20 };

    /** The part of a batch whose member returned Unknown. */
    struct OpenOutcome
    {
        std::shared_ptr<CommitBatch> batch;
        std::size_t part = 0;
    };

    /** Adds a member to the queue of its purpose, and wakes the leaders if the row limit is reached. */
    void enqueue(CommitMember &member, bool isAtFront);
    void removeFromQueue(CommitMember &member);
    /** Makes the first member of each queue without a leader its leader. */
    void promoteLeaders();
    /** True if too little time is left before the member's deadline for an attempt. */
    bool isExpired(const CommitMember &member) const;
    /** Sets the member's result and wakes its caller. */
    static void complete(CommitMember &member, CommitResult result, Failure failure);

    /** Waits until another member changes the state of this one or its deadline passes. */
    void waitAsFollower(Lock &lock, CommitMember &member);
    /** Waits for the merge window, the spacing and a token, and then collects the members of a batch. */
    void formBatch(Lock &lock, CommitMember &leader);
    /** Forms a batch from the leader and all queued members that can be merged with it. */
    void collectMembers(CommitMember &leader);

    /** Commits the sender's batch, until shortly before the earliest deadline of its members, and handles the outcome. */
    void sendBatch(Lock &lock, CommitMember &sender);
    /** Completes the members of a batch of definite outcome, or queues them again. */
    void completeBatch(CommitBatch &batch, const Failure &failure, bool isBeforeAttemptEnd);
    void completeConflict(CommitBatch &batch, const Failure &failure);
    void completeNotWritten(CommitBatch &batch, const Failure &failure, bool isBeforeAttemptEnd);
    /** Ends expired members as Unknown, and makes another member send the batch again. */
    void handleUnknownOutcome(const std::shared_ptr<CommitBatch> &batch, const Failure &failure);
    /** Puts a member at the front of its queue, or completes it with the failure if it is expired. */
    void requeue(CommitMember &member, const Failure &failure);

    /** Completes a member as Unknown, and records its batch so that a repeated commit finds the outcome. */
    void leaveOutcomeOpen(CommitMember &member, const Failure &failure);
    /** Attaches a repeated commit to its open outcome. @return false if there is none, so that it is committed anew */
    bool resumeOpenOutcome(CommitMember &member);
    /** Removes open outcomes that are older than their lifetime, and the oldest ones above their limit. */
    void removeExpiredOutcomes();

    TableService &table_;
    WriteBudget &budget_;
    Clock &clock_;
    Metrics &metrics_;
    const GroupCommitOptions options_;
    std::mutex mutex_;
    /** Queued members, indexed by WritePurpose. */
    std::array<std::deque<CommitMember *>, 5> queues_;
    /** The member of each queue in the state Forming; null if the queue is empty. */
    std::array<CommitMember *, 5> leaders_ {};
    std::size_t queuedRows_ = 0;
    TimePoint lastFormedAt_;
    /** By transaction id. */
    std::map<std::string, OpenOutcome> openOutcomes_;
    /** When the batch of each open outcome was formed, with the transaction id, in the order of recording. */
    std::deque<std::pair<TimePoint, std::string>> openOutcomeOrder_;
};

} // namespace auburndoor
