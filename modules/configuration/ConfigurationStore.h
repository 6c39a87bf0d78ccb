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

/** The outcome of ConfigurationStore::commitHead(). */
enum class HeadCommitStatus {
    /** The new head and its logbook row are in the table. */
    Committed,
    /** Another head was written first; the new head will never be written. */
    Conflict,
    /** The new head was not written and never will be. */
    NotWritten,
    /** The deadline passed before the outcome could be read; the new head may have been written or may be written later. */
    Unknown,
};

/** The result of ConfigurationStore::commitHead(). */
struct HeadCommit
{
    HeadCommitStatus status = HeadCommitStatus::NotWritten;
    /** Conflict: the head that is in the table. */
    ConfigurationHead currentHead;
};

/**
    Keeps the configuration in the platform's table and object store.

    Any thread may call the members; each call blocks until its deadline at most.
*/
class ConfigurationStore
{
public:
    ConfigurationStore(TableService &table, ObjectStore &objects, Clock &clock);

    /** Reads the head once. @return version 0 if there is none yet; empty on failure */
    std::optional<ConfigurationHead> readHead(TimePoint deadline, Failure &failure);

    /** Reads the head, with retries until it succeeds or the deadline has passed. @return as readHead() */
    std::optional<ConfigurationHead> readHeadWithRetry(TimePoint deadline, Failure &failure);

    /** Stores a file's text under its digest, with retries until it succeeds or the deadline has passed. @return success */
    bool storeBody(const std::string &digest, const std::string &text, TimePoint deadline, Failure &failure);

    /** Reads a file's text once. @return empty on failure, with FailureReason::BadReply if it does not have the digest */
    std::optional<std::string> fetchBody(const std::string &digest, TimePoint deadline, Failure &failure);

    /**
        Writes the next head and its logbook row in one transaction, if the head is still the one that was read.

        If the answer is lost, reads the head, which holds the id of the transaction that wrote it, and the logbook row to learn the
        outcome.

        @param seen    the head as it was read
        @param next    its transaction id must be new
        @param entry   its id must be the transaction id of the next head
        @param failure filled for NotWritten and Unknown
    */
    HeadCommit commitHead(const ConfigurationHead &seen,
                          const ConfigurationHead &next,
                          const LogbookEntry &entry,
                          TimePoint deadline,
                          Failure &failure);

private:
    std::optional<HeadCommit> resolveOutcome(const ConfigurationHead &seen,
                                             const ConfigurationHead &next,
                                             const LogbookEntry &entry,
                                             TimePoint deadline,
                                             Failure &failure);
    TimePoint computeCommitDeadline(TimePoint deadline) const;

    TableService &table_;
    ObjectStore &objects_;
    Clock &clock_;
};

} // namespace auburndoor
