#pragma once

#include "configuration/ConfigurationHead.h"
#include "core/Clock.h"
#include "logbook/Logbook.h"
#include "storage/TableService.h"

#include <optional>
#include <string>

namespace auburndoor {

class ObjectStore;
struct Failure;

enum class HeadCommitStatus {
    /** The new head and its logbook row are in the table. */
    Committed,
    /** Another head was written first; ours will never be. */
    Conflict,
    /** Ours was not written and never will be. */
    NotWritten,
    /** The deadline passed before the outcome could be read; ours may be written, even later. */
    Unknown,
};

struct HeadCommit
{
    HeadCommitStatus status = HeadCommitStatus::NotWritten;
    /** For Conflict: the head that is in the table. */
    ConfigurationHead present;
};

/** Keeps the configuration in the platform's table and object store. Any thread; each call blocks until its deadline at most. */
class ConfigurationStore
{
public:
    ConfigurationStore(TableService &table, ObjectStore &objects, Clock &clock);

    /** Reads the head once. @return version 0 if there is none yet; empty on failure */
    std::optional<ConfigurationHead> readHead(TimePoint deadline, Failure &failure);

    /** Reads the head, again and again until it succeeds or the deadline has passed. */
    std::optional<ConfigurationHead> waitForHead(TimePoint deadline, Failure &failure);

    /** Stores a file's text under its digest, again and again until it succeeds or the deadline has passed. */
    bool storeBody(const std::string &digest, const std::string &text, TimePoint deadline, Failure &failure);

    /** Reads a file's text once. @return empty on failure, with BadReply if the text does not have the digest */
    std::optional<std::string> fetchBody(const std::string &digest, TimePoint deadline, Failure &failure);

    /**
        Writes the next head and its logbook row in one transaction, if the head is still the one that was seen.

        A lost answer is resolved by reading the head, which holds the id of the transaction that wrote it, or the logbook row.

        @param next  its transaction must be new, and be the id of the entry
    */
    HeadCommit commitHead(const ConfigurationHead &seen,
                          const ConfigurationHead &next,
                          const LogbookEntry &entry,
                          TimePoint deadline,
                          Failure &failure);

private:
    std::optional<HeadCommit> resolve(const ConfigurationHead &seen,
                                      const ConfigurationHead &next,
                                      const LogbookEntry &entry,
                                      TimePoint deadline,
                                      Failure &failure);
    TimePoint commitDeadline(TimePoint deadline) const;

    TableService &table_;
    ObjectStore &objects_;
    Clock &clock_;
};

} // namespace auburndoor
