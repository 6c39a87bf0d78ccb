#pragma once

#include "net/Timers.h"
#include "workload/StateStore.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace auburndoor {

/** The rows that order all writes of the cell's owners. */
struct FencingRows
{
    static constexpr const char *table = "cell";
    /** Written only when the ownership changes; each write of an owner expects its version. */
    static constexpr const char *epochKey = "epoch";
    /** Written with each transaction of the owner, with that transaction's number. */
    static constexpr const char *sequenceKey = "sequence";
};

/**
    Group commit of the owner's rows.

    One transaction is under way at a time. Each expects the versions of the epoch row and of the sequence row and writes the
   latter, so that a transaction whose answer was lost can be told apart later and takes effect at most once, and a deposed owner
   writes nothing. Values are taken when a transaction is put together: a row that changes often is written once.
*/
class CommitQueue
{
public:
    /** The value of a row at the time of the transaction; empty to remove the row. */
    using Value = std::function<std::optional<std::string>()>;
    using Callback = std::function<void()>;

    /**
        @param epochVersion    the version of the epoch row that this owner wrote
        @param sequenceVersion the version of the sequence row at that time
        @param deposed         called once when another owner has taken over
    */
    CommitQueue(Timers &timers,
                StateStore &store,
                std::string writer,
                std::int64_t epochVersion,
                std::int64_t sequenceVersion,
                Callback deposed);
    ~CommitQueue();

    /** Which rows go first when a transaction can't hold all that wait. */
    enum class Urgency {
        /** Somebody waits for it: a job that is handed in, or its end. */
        Urgent,
        /** Progress on the way, which a takeover can do without. */
        Routine,
    };

    /** Has a row written with one of the next transactions. @param durable called once the row is stored; may be empty */
    void put(const std::string &table,
             const std::string &key,
             Value value,
             Callback durable = {},
             Urgency urgency = Urgency::Urgent);

    /** Takes a row out again that no transaction has carried yet. @return false if one may have carried it */
    bool withdraw(const std::string &table, const std::string &key);

    /** How long the store has not taken the transaction that is under way; zero if there is none. */
    Milliseconds stallDuration() const;

    /** True while the store does not take transactions. */
    bool isStalled() const;

    /** Stops sending; callbacks are no longer called. */
    void close();

    /** True if nothing waits and nothing is under way. */
    bool isIdle() const;

    /** Transactions sent, with repetitions. */
    long long sentCount() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace auburndoor
