#pragma once

#include "core/Clock.h"
#include "workload/StateStore.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace auburndoor {

class Timers;

/**
    Reads the tables from which a new owner restores its state, page by page, and repeats what fails until all are read.

    A reading goes on at the page that failed: no earlier owner can write any more, so the tables do not change meanwhile. While
   tables are unread it logs "owner.reading" once a second. All members are called from the loop's thread.
*/
class TableReading
{
public:
    /** The rows by table. */
    using Tables = std::map<std::string, std::vector<StoreRow>>;

    /** @param token the fencing token of the owner, for the log @param done called once with all rows */
    TableReading(Timers &timers, StateStore &store, std::int64_t token, std::function<void(Tables)> done);
    ~TableReading();

    /** Begins to read these tables. */
    void start(const std::vector<std::string> &tables);

    /** How long ago the reading was started; zero before. */
    Milliseconds age() const;

    /** How long the store has not answered the reading of stalledTable(); zero once all tables are read. */
    Milliseconds stallDuration() const;

    /** The unread table whose last page was read the longest time ago; empty once all are read. */
    std::string stalledTable() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace auburndoor
