#pragma once

#include "net/Timers.h"
#include "workload/StateStore.h"

#include <functional>
#include <memory>
#include <string>

namespace auburndoor {

/** How often a table is read. */
struct WatchTimes
{
    /** How long the store waits for a change. */
    Milliseconds wait { 800 };
    /** From an answer to the next question, so that frequent changes are taken together. */
    Milliseconds pause { 50 };
    /** After a failure. */
    Milliseconds retry { 200 };
};

/**
    Follows the changes of one table of the store.

    It reads the table once, then waits for changes; where the history is lost it reads the table again. The wait is short, so that
   a silent connection or a held-back change shows by the age of the last answer. All members are called from the loop's thread.
*/
class TableWatch
{
public:
    /** @param isWhole whether the rows are all rows of the table, or changes */
    using Callback = std::function<void(const std::vector<StoreRow> &rows, bool isWhole)>;

    TableWatch(Timers &timers, StateStore &store, std::string table, WatchTimes times, Callback callback);
    ~TableWatch();

    void start();

    /** How long ago the question was sent that the last answer belongs to. */
    Milliseconds age() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace auburndoor
