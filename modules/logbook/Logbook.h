#pragma once

#include "core/Clock.h"
#include "storage/TableService.h"

#include <optional>
#include <string>
#include <vector>

namespace auburndoor {

struct Failure;

/** One entry of the audit log. */
struct LogbookEntry
{
    WallTime time;
    /** Unique; for an apply, the identifier of its transaction. */
    std::string id;
    /** What was done, such as "apply". */
    std::string action;
    std::string operatorName;
    /** For an apply, the accepted version; otherwise 0. */
    long long version = 0;
    /** For an apply, the digest of the file. */
    std::string digest;
    /** What changed, one line per difference; long lists are truncated. */
    std::vector<std::string> summary;

    /** Returns "logbook/<milliseconds since 1970, 15 digits>-<id>", so that rows sort by time. */
    std::string rowKey() const;

    /** Returns the entry as JSON. */
    std::string rowValue() const;
};

/** Returns {"entries": [{"time", "id", "action", "operator", "version", "digest", "summary"}]}. */
std::string toJson(const std::vector<LogbookEntry> &entries);

/** Reads the audit log. Has no state of its own; any thread. */
class Logbook
{
public:
    Logbook(TableService &table, Clock &clock);

    /**
        Returns up to limit entries, newest first.

        The table returns all rows of a key prefix, so the rows are read in spans of time, newest first, until there are enough
        entries. The first spans are 2.8 hours long. Where entries are few, spans grow tenfold to limit the number of reads.
        Rows dated more than five minutes ahead of this machine's clock may be left out.

        @return empty on failure
    */
    std::optional<std::vector<LogbookEntry>> latest(std::size_t limit, TimePoint deadline, Failure &failure);

private:
    TableService &table_;
    Clock &clock_;
};

} // namespace auburndoor
