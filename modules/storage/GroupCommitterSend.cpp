// The part of GroupCommitter that sends a batch and distributes its outcome to the members.
#include "observability/Metrics.h"
#include "storage/CommitBatch.h"
#include "storage/GroupCommitter.h"
#include "storage/WriteBudget.h"

#include <algorithm>
#include <utility>

namespace auburndoor {

using State = CommitMember::State;

void GroupCommitter::sendBatch(Lock &lock, CommitMember &sender)
{
    const auto batch = sender.batch;
    auto attemptEnd = sender.deadline;
    for (const auto &part : batch->parts()) {
        attemptEnd = part.member != nullptr ? std::min(attemptEnd, part.member->deadline) : attemptEnd;
    }
    attemptEnd -= completionMargin;
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
        completeBatch(*batch, failure, clock_.now() < attemptEnd);
    } else {
        handleUnknownOutcome(batch, failure);
    }
}

void GroupCommitter::completeBatch(CommitBatch &batch, const Failure &failure, bool isBeforeAttemptEnd)
{
    const auto &outcome = *batch.outcome;
    if (outcome.status == CommitStatus::Conflict) {
        completeConflict(batch, failure);
        return;
    }
    if (outcome.status == CommitStatus::NotWritten) {
        completeNotWritten(batch, failure, isBeforeAttemptEnd);
        return;
    }
    for (const auto &part : batch.parts()) {
        if (part.member != nullptr) {
            complete(*part.member, CommitBatch::makePartResult(part, outcome), {});
        }
    }
}

void GroupCommitter::completeConflict(CommitBatch &batch, const Failure &failure)
{
    const auto hasFailedRows = [&batch](const CommitBatch::Part &part) {
        return !CommitBatch::findFailedRows(part, *batch.outcome).empty();
    };
    const auto isExplainedByCheck = std::any_of(batch.parts().begin(), batch.parts().end(), hasFailedRows);
    // In reverse order, because requeue() puts each member at the front of its queue.
    for (auto entry = batch.parts().rbegin(); entry != batch.parts().rend(); ++entry) {
        const auto &part = *entry;
        if (part.member == nullptr) {
            continue;
        }
        if (!isExplainedByCheck) {
            // Members of a conflict without a failed check would be committed again without end.
            complete(*part.member,
                     {},
                     { FailureStep::WriteTable,
                       "table",
                       FailureReason::BadReply,
                       "the table reported a conflict without a failed check" });
        } else if (hasFailedRows(part)) {
            complete(*part.member, { CommitStatus::Conflict, {}, CommitBatch::findFailedRows(part, *batch.outcome) }, failure);
        } else {
            requeue(*part.member, failure);
        }
    }
}

void GroupCommitter::completeNotWritten(CommitBatch &batch, const Failure &failure, bool isBeforeAttemptEnd)
{
    const auto isContentRefused = failure.reason == FailureReason::MalformedInput || failure.reason == FailureReason::TooLarge;
    const auto mustSplit = isContentRefused && batch.parts().size() > 1;
    for (auto entry = batch.parts().rbegin(); entry != batch.parts().rend(); ++entry) {
        const auto &part = *entry;
        if (part.member == nullptr) {
            continue;
        }
        if (isBeforeAttemptEnd && !mustSplit) {
            complete(*part.member, {}, failure);
        } else {
            // The content of one member must not fail the others, so each member gets a batch of its own.
            part.member->mustCommitAlone = part.member->mustCommitAlone || mustSplit;
            requeue(*part.member, failure);
        }
    }
}

void GroupCommitter::requeue(CommitMember &member, const Failure &failure)
{
    if (isExpired(member)) {
        complete(member, {}, failure);
    } else {
        enqueue(member, true);
    }
}

void GroupCommitter::handleUnknownOutcome(const std::shared_ptr<CommitBatch> &batch, const Failure &failure)
{
    batch->mayHaveArrived = true;
    CommitMember *nextSender = nullptr;
    for (const auto &part : batch->parts()) {
        if (part.member == nullptr) {
            continue;
        }
        if (isExpired(*part.member)) {
            leaveOutcomeOpen(*part.member, failure);
        } else if (nextSender == nullptr || part.member->state == State::Sending) {
            nextSender = part.member;
        }
    }
    batch->hasSender = nextSender != nullptr;
    if (nextSender != nullptr) {
        nextSender->state = State::Sending;
        nextSender->condition.notify_all();
    }
}

} // namespace auburndoor
