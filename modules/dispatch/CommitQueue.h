#pragma once

#include "dispatch/CallTime.h"
#include "workload/StateStore.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace auburndoor {

/** The rows that fence off deposed owners and order the transactions of the current one. */
struct FencingRows
{
    static constexpr const char *table = "cell";
    /** Written only when the ownership changes; each transaction of an owner expects the version that it wrote. */
    static constexpr const char *epochKey = "epoch";
    /** Written with each takeover, and with each transaction of the owner, with that transaction's number. */
    static constexpr const char *sequenceKey = "sequence";
};

/**
    Group commit: writes the owner's rows to the store, many in one transaction.

    One transaction is in flight at a time. Each expects the versions of the epoch row and the sequence row, and writes the sequence
    row. Therefore a transaction whose answer was lost takes effect at most once and is recognized later, and a deposed owner writes
    nothing. The value of a row is computed when its transaction is built, so that a row that changes often is written once.

    A row that the store does not take holds up no other: it is set aside, and tried again after some seconds or when it is put
   again. To find it, a transaction that the store has rejected is sent again in parts.

    All members are called from the loop's thread, and callbacks are called from it.
*/
class CommitQueue
{
public:
    /** Returns the value of a row when its transaction is built; empty to remove the row. */
    using Value = std::function<std::optional<std::string>()>;
    using Callback = std::function<void()>;

    static constexpr std::size_t defaultMaxRowBytes = 65536;

    /**
        @param writer          a name unique to this owner; it begins the values of the sequence row
        @param epochVersion    the version of the epoch row that this owner wrote
        @param sequenceVersion the version of the sequence row at that time
        @param deposed         called once when another owner has taken over
        @param maxRowBytes     the largest value that the store takes for a row
    */
    CommitQueue(Timers &timers,
                StateStore &store,
                std::string writer,
                std::int64_t epochVersion,
                std::int64_t sequenceVersion,
                Callback deposed,
                std::size_t maxRowBytes = defaultMaxRowBytes);
    ~CommitQueue();

    /** Sets what is called with the time at which each transaction was sent that the store has applied. */
    void setAppliedCallback(std::function<void(CallTime sentAt)> callback);

    /** Which rows go first when one transaction cannot hold all waiting rows. */
    enum class Urgency {
        /** A client waits for it: a submitted job, or the end of one. */
        Urgent,
        /** Progress of a job, without which a new owner can take over. */
        Routine,
    };

    /**
        Writes a row with one of the next transactions; replaces the value of a row that is still waiting.

        @param durable called once the row is stored; may be empty
    */
    void put(const std::string &table,
             const std::string &key,
             Value value,
             Callback durable = {},
             Urgency urgency = Urgency::Urgent);

    /** Removes a waiting row. @return false if the row may be in the store: a transaction with it was sent, or none is waiting */
    bool withdraw(const std::string &table, const std::string &key);

    /**
        Removes a waiting row.

        @return what was to be called once the row is stored; the caller passes it on to the row that takes its place
    */
    std::vector<Callback> take(const std::string &table, const std::string &key);

    /** How long the transaction in flight has been without success; zero if there is none. */
    Milliseconds stallDuration() const;

    /** True if the last attempt failed, or the transaction in flight has been without success for too long. */
    bool isStalled() const;

    /** Stops sending; callbacks are no longer called. */
    void close();

    /** True if no row is waiting and no transaction is in flight; rows that were set aside do not count. */
    bool isIdle() const;

    /** Marks the rows that have been put so far, for isStoredUpTo(). */
    std::uint64_t mark() const;

    /** True if all rows are stored that had been put when mark() returned this value; rows that were set aside do not count. */
    bool isStoredUpTo(std::uint64_t mark) const;

    /** The number of transactions sent, including repetitions. */
    long long sentCount() const;

    /** The number of times that a row was set aside because the store does not take it. */
    long long rejectedRowCount() const;

    /** The largest value that the store takes for a row, in bytes. */
    std::size_t maxRowBytes() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace auburndoor
