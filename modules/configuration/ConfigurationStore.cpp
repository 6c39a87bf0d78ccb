#include "configuration/ConfigurationStore.h"

#include "configuration/Backoff.h"
#include "core/Failure.h"
#include "declaration/Digest.h"
#include "storage/ObjectStore.h"

#include <algorithm>

namespace auburndoor {

namespace {

/** Longest part of the time until the deadline that is reserved for reading the head after a lost answer. */
constexpr Milliseconds maxReadReserve { 1000 };

std::string makeObjectName(const std::string &digest)
{
    return "configuration/" + digest;
}

} // namespace

ConfigurationStore::ConfigurationStore(TableService &table, ObjectStore &objects, Clock &clock)
    : table_(table), objects_(objects), clock_(clock)
{
}

std::optional<ConfigurationHead> ConfigurationStore::readHead(TimePoint deadline, Failure &failure)
{
    const auto row = table_.read(ConfigurationHead::key, deadline, failure);
    if (!row) {
        return std::nullopt;
    }
    return ConfigurationHead::parse(*row, failure);
}

std::optional<ConfigurationHead> ConfigurationStore::readHeadWithRetry(TimePoint deadline, Failure &failure)
{
    Backoff backoff(clock_);
    auto head = readHead(deadline, failure);
    while (!head && backoff.wait(deadline)) {
        head = readHead(deadline, failure);
    }
    return head;
}

bool ConfigurationStore::storeBody(const std::string &digest, const std::string &text, TimePoint deadline, Failure &failure)
{
    Backoff backoff(clock_);
    while (!objects_.put(makeObjectName(digest), text, deadline, failure)) {
        if (!backoff.wait(deadline)) {
            return false;
        }
    }
    return true;
}

std::optional<std::string> ConfigurationStore::fetchBody(const std::string &digest, TimePoint deadline, Failure &failure)
{
    auto text = objects_.get(makeObjectName(digest), deadline, failure);
    if (text && Digest::of(*text) != digest) {
        failure = { FailureStep::ReadObject,
                    "object store",
                    FailureReason::BadReply,
                    "object configuration/" + digest + " holds a text with a different digest" };
        return std::nullopt;
    }
    return text;
}

TimePoint ConfigurationStore::computeCommitDeadline(TimePoint deadline) const
{
    const auto remaining = std::chrono::duration_cast<Milliseconds>(deadline - clock_.now());
    return deadline - std::clamp(remaining / 4, Milliseconds(0), maxReadReserve);
}

HeadCommit ConfigurationStore::commitHead(const ConfigurationHead &seen,
                                          const ConfigurationHead &next,
                                          const LogbookEntry &entry,
                                          TimePoint deadline,
                                          Failure &failure)
{
    const Transaction transaction { next.transaction,
                                    { { ConfigurationHead::key, seen.rowVersion } },
                                    { { ConfigurationHead::key, next.rowValue() }, { entry.rowKey(), entry.rowValue() } },
                                    WritePurpose::Configuration };
    Backoff backoff(clock_);
    // After a lost answer, NotWritten or Conflict for a retry does not decide the outcome: the first commit may still take effect
    // or have taken effect.
    auto isOutcomeUnknown = false;
    auto hasConflict = false;
    do {
        if (!hasConflict) {
            const auto status = table_.commit(transaction, computeCommitDeadline(deadline), failure).status;
            if (status == CommitStatus::Committed) {
                return { HeadCommitStatus::Committed, {} };
            }
            if (status == CommitStatus::NotWritten && !isOutcomeUnknown) {
                return { HeadCommitStatus::NotWritten, {} };
            }
            isOutcomeUnknown = isOutcomeUnknown || status == CommitStatus::Unknown;
            hasConflict = status == CommitStatus::Conflict && !isOutcomeUnknown;
        }
        if (const auto outcome = resolveOutcome(seen, next, entry, deadline, failure)) {
            return *outcome;
        }
    } while (backoff.wait(deadline));
    if (hasConflict) {
        failure = { FailureStep::Apply,
                    "table",
                    FailureReason::Conflict,
                    "another file was accepted first; its version could not be read before the deadline" };
        return { HeadCommitStatus::NotWritten, {} };
    }
    failure.step = FailureStep::Apply;
    failure.reason = FailureReason::OutcomeUnknown;
    failure.message = "the answer to the commit was lost and the outcome could not be read before the deadline; transaction "
                      + next.transaction;
    return { HeadCommitStatus::Unknown, {} };
}

std::optional<HeadCommit> ConfigurationStore::resolveOutcome(const ConfigurationHead &seen,
                                                             const ConfigurationHead &next,
                                                             const LogbookEntry &entry,
                                                             TimePoint deadline,
                                                             Failure &failure)
{
    const auto currentHead = readHead(deadline, failure);
    if (!currentHead || currentHead->rowVersion == seen.rowVersion) {
        return std::nullopt;
    }
    if (currentHead->transaction == next.transaction) {
        return HeadCommit { HeadCommitStatus::Committed, {} };
    }
    // Row versions only rise, so the transaction's check of the head can no longer pass. Its logbook row exists if it was committed
    // before the current head.
    const auto row = table_.read(entry.rowKey(), deadline, failure);
    if (!row) {
        return std::nullopt;
    }
    if (row->version != 0) {
        return HeadCommit { HeadCommitStatus::Committed, {} };
    }
    return HeadCommit { HeadCommitStatus::Conflict, *currentHead };
}

} // namespace auburndoor
