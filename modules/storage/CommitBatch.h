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

/** Member transactions merged into one, with what is needed to give each member its part of the outcome. */
class CommitBatch
{
public:
    /** What one member contributed. */
    struct Part
    {
        /** Null once the member has returned. */
        CommitMember *member = nullptr;
        std::string id;
        std::vector<RowCheck> checks;
        std::size_t firstWrite = 0;
        std::size_t writeCount = 0;
    };

    /**
        Merges a transaction unless a row written by one side is checked or written by the other, a row is checked for different
        versions, or a limit would be exceeded. The first transaction is always taken.

        The first transaction keeps its id; with a second one, the merged transaction gets a new id.
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

    /** The versions of a part's writes. @param result Committed */
    static CommitResult committedPart(const Part &part, const CommitResult &result);

    /** The rows that failed a part's checks; empty if they hold. @param result Conflict */
    static std::vector<TableRow> failedRows(const Part &part, const CommitResult &result);

    TimePoint formedAt;
    /** True once an attempt may have arrived whose outcome is open: the same transaction is repeated, never a changed one. */
    bool mayHaveArrived = false;
    /** True if a token of the write budget is held for the next attempt. */
    bool hasToken = true;
    /** True while one of the members is responsible for the next attempt. */
    bool isDriven = true;
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

/** One call of GroupCommitter::commit(); guarded by the committer's mutex, apart from isTaken. */
struct CommitMember
{
    enum class State {
        Queued,
        /** Waits for the window and for a token; leads the next batch of its purpose. */
        Forming,
        /** Part of a batch that another member drives. */
        InFlight,
        /** Responsible for the attempts of its batch. */
        Driving,
        Settled,
    };

    CommitMember(const Transaction &source, TimePoint latest, TimePoint now) : transaction(source), deadline(latest), arrival(now)
    {
    }

    const Transaction &transaction;
    const TimePoint deadline;
    const TimePoint arrival;
    State state = State::Queued;
    /** Set when a batch takes the member, to end its wait for a token. */
    std::atomic<bool> isTaken = false;
    /** True after the table refused a batch as malformed or too large: the member is committed alone. */
    bool isAlone = false;
    std::condition_variable condition;
    std::shared_ptr<CommitBatch> batch;
    std::size_t part = 0;
    CommitResult result;
    Failure failure;
};

} // namespace auburndoor
