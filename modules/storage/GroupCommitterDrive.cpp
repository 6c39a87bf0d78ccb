// The part of GroupCommitter that sends a batch and gives its members their outcomes.
#include "observability/Metrics.h"
#include "storage/CommitBatch.h"
#include "storage/GroupCommitter.h"
#include "storage/WriteBudget.h"

#include <algorithm>
#include <utility>

namespace auburndoor {

using State = CommitMember::State;

void GroupCommitter::drive(Lock &lock, CommitMember &driver)
{
    const auto batch = driver.batch;
    auto attemptEnd = driver.deadline;
    for (const auto &part : batch->parts()) {
        attemptEnd = part.member != nullptr ? std::min(attemptEnd, part.member->deadline) : attemptEnd;
    }
    attemptEnd -= settleMargin;
    const auto &merged = batch->merged();
    const auto hasToken = std::exchange(batch->hasToken, false);
    CommitResult result;
    Failure failure;
    lock.unlock();
    if (hasToken || budget_.acquire(merged.purpose, attemptEnd, failure)) {
        metrics_.count("table_transactions_total");
        metrics_.count("table_transaction_members_total", {}, static_cast<long long>(batch->parts().size()));
        result = table_.commit(merged, attemptEnd, failure);
    }
    lock.lock();
    const auto isDefinite = result.status == CommitStatus::Committed || result.status == CommitStatus::Conflict
                            || (result.status == CommitStatus::NotWritten && !batch->mayHaveArrived);
    if (isDefinite) {
        batch->outcome = result;
        settleBatch(*batch, failure, clock_.now() < attemptEnd);
    } else {
        settleUnknown(batch, failure);
    }
}

void GroupCommitter::settleBatch(CommitBatch &batch, const Failure &failure, bool isBeforeEnd)
{
    const auto &outcome = *batch.outcome;
    if (outcome.status == CommitStatus::Conflict) {
        settleConflict(batch, failure);
        return;
    }
    if (outcome.status == CommitStatus::NotWritten) {
        settleNotWritten(batch, failure, isBeforeEnd);
        return;
    }
    for (const auto &part : batch.parts()) {
        if (part.member != nullptr) {
            settle(*part.member, CommitBatch::committedPart(part, outcome), {});
        }
    }
}

void GroupCommitter::settleConflict(CommitBatch &batch, const Failure &failure)
{
    const auto hasFailedRows = [&batch](const CommitBatch::Part &part) {
        return !CommitBatch::failedRows(part, *batch.outcome).empty();
    };
    const auto isExplained = std::any_of(batch.parts().begin(), batch.parts().end(), hasFailedRows);
    // In reverse order, because each one goes to the front of its queue.
    for (auto entry = batch.parts().rbegin(); entry != batch.parts().rend(); ++entry) {
        const auto &part = *entry;
        if (part.member == nullptr) {
            continue;
        }
        if (!isExplained) {
            // Repeating a conflict that no check explains would never end.
            settle(*part.member,
                   {},
                   { FailureStep::WriteTable, "table", FailureReason::BadReply, "a conflict without a failed check" });
        } else if (hasFailedRows(part)) {
            settle(*part.member, { CommitStatus::Conflict, {}, CommitBatch::failedRows(part, *batch.outcome) }, failure);
        } else {
            requeue(*part.member, failure);
        }
    }
}

void GroupCommitter::settleNotWritten(CommitBatch &batch, const Failure &failure, bool isBeforeEnd)
{
    const auto isBadInput = failure.reason == FailureReason::MalformedInput || failure.reason == FailureReason::TooLarge;
    const auto isSplit = isBadInput && batch.parts().size() > 1;
    for (auto entry = batch.parts().rbegin(); entry != batch.parts().rend(); ++entry) {
        const auto &part = *entry;
        if (part.member == nullptr) {
            continue;
        }
        if (isBeforeEnd && !isSplit) {
            settle(*part.member, {}, failure);
        } else {
            // One member's content must not fail the others.
            part.member->isAlone = part.member->isAlone || isSplit;
            requeue(*part.member, failure);
        }
    }
}

void GroupCommitter::requeue(CommitMember &member, const Failure &failure)
{
    if (isExpired(member)) {
        settle(member, {}, failure);
    } else {
        enqueue(member, true);
    }
}

void GroupCommitter::settleUnknown(const std::shared_ptr<CommitBatch> &batch, const Failure &failure)
{
    batch->mayHaveArrived = true;
    CommitMember *next = nullptr;
    for (const auto &part : batch->parts()) {
        if (part.member == nullptr) {
            continue;
        }
        if (isExpired(*part.member)) {
            leaveOpen(*part.member, failure);
        } else if (next == nullptr || part.member->state == State::Driving) {
            next = part.member;
        }
    }
    batch->isDriven = next != nullptr;
    if (next != nullptr) {
        next->state = State::Driving;
        next->condition.notify_all();
    }
}

} // namespace auburndoor
