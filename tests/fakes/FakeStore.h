#pragma once

#include "net/Timers.h"
#include "workload/StateStore.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace auburndoor {

/** A store in memory that refuses calls, loses answers and applies transactions late, as the platform's does. */
class FakeStore : public StateStore
{
public:
    explicit FakeStore(Timers &timers) : timers_(timers)
    {
    }

    void commit(StoreChange change, Callback callback) override;
    void readAll(const std::string &table, const std::string &from, Callback callback) override;
    void readPage(const std::string &table, const std::string &firstKey, Callback callback) override;
    void readRow(const std::string &table, const std::string &key, Callback callback) override;
    void changes(const std::string &table, std::int64_t after, Milliseconds wait, Callback callback) override;
    void abandonReads(const std::string &table) override;

    /** While down, every call is refused and nothing is done. */
    void setDown(bool isDown)
    {
        isDown_ = isDown;
    }

    bool isDown() const
    {
        return isDown_;
    }

    /** The most rows that readPage() returns. */
    void setPageSize(std::size_t rows)
    {
        pageSize_ = rows;
    }

    /** How long a call takes. */
    void setAnswerTime(Milliseconds time)
    {
        answerTime_ = time;
    }

    /** The next commits are applied after a delay, and their answers are lost. */
    void loseAnswers(int count, Milliseconds applyAfter)
    {
        answersToLose_ = count;
        applyAfter_ = applyAfter;
    }

    /** A transaction with a larger value is rejected for good. */
    void setMaxRowBytes(std::size_t bytes)
    {
        maxRowBytes_ = bytes;
    }

    /** The store's clock jumps by this much, as after a restart of the store. */
    void shiftClock(Milliseconds shift)
    {
        clockShift_ += shift;
    }

    /** Writes a row as another writer would. */
    void write(const std::string &table, const std::string &key, const std::string &value);
    void remove(const std::string &table, const std::string &key);

    const StoreRow *row(const std::string &table, const std::string &key) const;
    int commitCount() const
    {
        return commits_;
    }
    /** The transactions that were rejected for good. */
    int rejectedCount() const
    {
        return rejected_;
    }
    /** The keys of the rows of a table. */
    std::vector<std::string> keys(const std::string &table) const;

private:
    /** The store's clock, as it tells it in replies to reads. */
    StoreTimeSpan clock() const;
    StoreResult apply(const StoreChange &change);
    /** The rows of a table from a key on, at most maxRows of them. */
    StoreResult read(const std::string &table, const std::string &from, std::size_t maxRows) const;
    void answer(StoreResult result, Callback callback, Milliseconds delay);

    Timers &timers_;
    std::map<std::pair<std::string, std::string>, StoreRow> rows_;
    std::vector<StoreRow> history_;
    std::int64_t version_ = 0;
    int commits_ = 0;
    int rejected_ = 0;
    std::size_t maxRowBytes_ = SIZE_MAX;
    std::size_t pageSize_ = SIZE_MAX;
    Milliseconds answerTime_ { 8 };
    Milliseconds clockShift_ { 0 };
    int answersToLose_ = 0;
    Milliseconds applyAfter_ { 0 };
    bool isDown_ = false;
};

} // namespace auburndoor
