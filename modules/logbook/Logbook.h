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
    /** Unique; for an apply the id of its transaction. */
    std::string id;
    /** What was done, such as "apply". */
    std::string action;
    std::string operatorName;
    /** For an apply: the accepted version, 0 otherwise. */
    long long version = 0;
    /** For an apply: the digest of the file. */
    std::string digest;
    /** What changed, one line for each difference; long lists are cut. */
    std::vector<std::string> summary;

    /** "logbook/<milliseconds since 1970, 15 digits>-<id>": rows sort by time. */
    std::string rowKey() const;

    std::string rowValue() const;
};

/** {"entries": [{"time", "id", "action", "operator", "version", "digest", "summary"}]}. */
std::string toJson(const std::vector<LogbookEntry> &entries);

/** Reads the audit log. Stateless beside its references; any thread. */
class Logbook
{
public:
    Logbook(TableService &table, Clock &clock);

    /**
        The latest entries, newest first.

        Reads one span of time after the other, newest first, until enough entries are found, because the table returns all rows of
        a prefix. Spans of 2.8 hours come first; they grow tenfold where entries are few, which bounds the reads of a long silence.
        Rows dated more than five minutes ahead of this machine's clock may be left out.

        @return empty on failure
    */
    std::optional<std::vector<LogbookEntry>> latest(std::size_t limit, TimePoint deadline, Failure &failure);

private:
    TableService &table_;
    Clock &clock_;
};

} // namespace auburndoor
