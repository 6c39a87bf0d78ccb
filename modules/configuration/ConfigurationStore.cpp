#include "configuration/ConfigurationStore.h"

#include "configuration/Backoff.h"
#include "core/Failure.h"
#include "declaration/Digest.h"
#include "storage/ObjectStore.h"

#include <algorithm>

namespace auburndoor {

namespace {

/** Time kept back from the commit for reading the head when the answer is lost. */
constexpr Milliseconds longestReserve { 1000 };

std::string objectName(const std::string &digest)
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

std::optional<ConfigurationHead> ConfigurationStore::waitForHead(TimePoint deadline, Failure &failure)
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
    while (!objects_.put(objectName(digest), text, deadline, failure)) {
        if (!backoff.wait(deadline)) {
            return false;
        }
    }
    return true;
}

std::optional<std::string> ConfigurationStore::fetchBody(const std::string &digest, TimePoint deadline, Failure &failure)
{
    auto text = objects_.get(objectName(digest), deadline, failure);
    if (text && Digest::of(*text) != digest) {
        failure = { FailureStep::ReadObject,
                    "object store",
                    FailureReason::BadReply,
                    "object configuration/" + digest + " has another digest" };
        return std::nullopt;
    }
    return text;
}

TimePoint ConfigurationStore::commitDeadline(TimePoint deadline) const
{
    const auto left = std::chrono::duration_cast<Milliseconds>(deadline - clock_.now());
    return deadline - std::clamp(left / 4, Milliseconds(0), longestReserve);
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
    // Once an answer has been lost, a later "not written" speaks of the repetition only: the first sending may still take effect.
    auto isOpen = false;
    auto isRefused = false;
    do {
        if (!isRefused) {
            const auto status = table_.commit(transaction, commitDeadline(deadline), failure).status;
            if (status == CommitStatus::Committed) {
                return { HeadCommitStatus::Committed, {} };
            }
            if (status == CommitStatus::NotWritten && !isOpen) {
                return { HeadCommitStatus::NotWritten, {} };
            }
            isOpen = isOpen || status == CommitStatus::Unknown;
            isRefused = status == CommitStatus::Conflict && !isOpen;
        }
        if (const auto resolved = resolve(seen, next, entry, deadline, failure)) {
            return *resolved;
        }
    } while (backoff.wait(deadline));
    if (isRefused) {
        failure = {
            FailureStep::Apply, "table", FailureReason::Conflict, "another file was accepted first; its version could not be read"
        };
        return { HeadCommitStatus::NotWritten, {} };
    }
    failure.step = FailureStep::Apply;
    failure.reason = FailureReason::OutcomeUnknown;
    failure.message = "the answer was lost and could not be read back in time; transaction " + next.transaction;
    return { HeadCommitStatus::Unknown, {} };
}

std::optional<HeadCommit> ConfigurationStore::resolve(const ConfigurationHead &seen,
                                                      const ConfigurationHead &next,
                                                      const LogbookEntry &entry,
                                                      TimePoint deadline,
                                                      Failure &failure)
{
    const auto present = readHead(deadline, failure);
    if (!present || present->rowVersion == seen.rowVersion) {
        return std::nullopt;
    }
    if (present->transaction == next.transaction) {
        return HeadCommit { HeadCommitStatus::Committed, {} };
    }
    // Row versions only rise, so the check can hold no more. Whether ours was written before the present head, the logbook tells.
    const auto row = table_.read(entry.rowKey(), deadline, failure);
    if (!row) {
        return std::nullopt;
    }
    if (row->version != 0) {
        return HeadCommit { HeadCommitStatus::Committed, {} };
    }
    return HeadCommit { HeadCommitStatus::Conflict, *present };
}

} // namespace auburndoor
