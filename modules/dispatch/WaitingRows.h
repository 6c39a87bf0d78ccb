#pragma once

#include "dispatch/CommitQueue.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace auburndoor {

/** The table and key of a row. */
using RowName = std::pair<std::string, std::string>;

/** A row that no transaction holds yet, or that the one in flight holds. */
struct WaitingRow
{
    CommitQueue::Value value;
    /** Called once the row is stored. */
    std::vector<CommitQueue::Callback> durable;
    CommitQueue::Urgency urgency = CommitQueue::Urgency::Urgent;
    /** The number of the put() call since which it waits. */
    std::uint64_t number = 0;
};

/** The rows of a CommitQueue that wait for a transaction, in the order in which they go. */
class WaitingRows
{
public:
    /** Adds a row, or replaces the value of the waiting row with this name; a routine row that is put as urgent becomes urgent. */
    void put(const RowName &name, CommitQueue::Value value, CommitQueue::Callback durable, CommitQueue::Urgency urgency);

    /** Puts a row of a transaction that was not applied in front of the others; if a newer one waits, that one is stored for both.
     */
    void putBack(const RowName &name, WaitingRow row);

    /** Removes a row. @return what was to be called once it is stored; empty if no such row waits */
    std::optional<std::vector<CommitQueue::Callback>> remove(const RowName &name);

    /** Keeps a row that the store does not take apart from the others, until releaseSetAside() or a put() with its name. */
    void setAside(const RowName &name, WaitingRow row);
    /** Has the rows that were set aside wait again. */
    void releaseSetAside();

    /** Makes the routine rows due that were put so far. */
    void releaseRoutine();

    /** True if a row is due. */
    bool hasDue() const;
    /** Takes the next due row. @param rowsTaken the number of rows that the transaction holds already */
    std::pair<RowName, WaitingRow> takeNext(std::size_t rowsTaken);

    /** The number of the next put() call. */
    std::uint64_t nextNumber() const
    {
        return nextNumber_;
    }
    /** True if a row waits since a put() call before the one with this number; rows that were set aside do not count. */
    bool hasRowBefore(std::uint64_t number) const;

    /** The number of waiting rows, without those that were set aside. */
    std::size_t count() const;
    void clear();

private:
    /** Removes the name from the order of the rows. */
    void eraseName(const RowName &name);

    std::uint64_t nextNumber_ = 0;
    std::map<RowName, WaitingRow> rows_;
    std::map<RowName, WaitingRow> setAside_;
    /** The names of the waiting rows by urgency, in the order of their put() calls. */
    std::deque<RowName> urgent_;
    std::deque<RowName> routine_;
    /** The routine rows that have waited long enough. */
    std::deque<RowName> dueRoutine_;
};

} // namespace auburndoor
