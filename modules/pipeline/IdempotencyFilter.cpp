#include "pipeline/IdempotencyFilter.h"

#include "pipeline/RequestContext.h"
#include "pipeline/RequestEstimates.h"
#include "pipeline/RequestRecordStore.h"
#include "pipeline/TaskResolver.h"

#include <algorithm>

namespace auburndoor {

namespace {

/** How long the start of another attempt's task may take to reach its worker before the task is cancelled there. */
constexpr Milliseconds startGracePeriod { 1000 };

Outcome makeNotRunOutcome(FailureReason reason, std::string message)
{
    return { OutcomeStatus::NotRun, {}, { FailureStep::Record, "table", reason, std::move(message) }, {}, {}, {} };
}

} // namespace

IdempotencyFilter::IdempotencyFilter(Clock &clock,
                                     RequestRecordStore &records,
                                     TaskResolver &resolver,
                                     CapacityLedger &ledger,
                                     const RunTimeEstimator &estimator)
    : clock_(clock), records_(records), resolver_(resolver), ledger_(ledger), estimator_(estimator)
{
}

std::optional<Outcome> IdempotencyFilter::apply(RequestContext &context)
{
    const auto &request = context.request;
    if (request.isRepeatable || !context.reservation) {
        return std::nullopt;
    }
    const auto key = RequestRecord::rowKey(request.team, request.idempotencyKey);
    RequestRecord record;
    record.task = context.task();
    record.worker = context.reservation->worker;
    record.requestDigest = RequestRecord::digestOf(request);
    Failure failure;
    const auto expectedVersion = context.record ? context.record->version : 0;
    const auto latestStartTime = latestStart(context);
    auto claim = records_.claim(key, expectedVersion, record, latestStartTime, failure);
    if (claim.status == ClaimStatus::Taken && claim.existingRecord.state == RecordState::NotRun) {
        claim = records_.claim(key, claim.version, record, latestStartTime, failure);
    }
    if (claim.status == ClaimStatus::Claimed) {
        context.record = ClaimedRecord { key, claim.version };
        return refuseLateStart(context, record, latestStartTime);
    }
    releaseReservation(context);
    if (claim.status == ClaimStatus::Failed) {
        return Outcome { OutcomeStatus::NotRun, {}, failure, Milliseconds(1000), {}, {} };
    }
    if (claim.existingRecord.requestDigest != record.requestDigest) {
        return makeNotRunOutcome(FailureReason::DuplicateKey, "the idempotency key was used for a different request");
    }
    return claim.existingRecord.state == RecordState::Claimed ? resolveClaim(context, claim) : answerFromRecord(context, claim);
}

/** The last moment at which a start is useful: the outcome of a task that starts at its deadline would be Unknown. */
TimePoint IdempotencyFilter::latestStart(const RequestContext &context) const
{
    constexpr Milliseconds minimumRunTime { 100 };
    const auto deadline = context.request.deadline;
    const auto remaining = std::chrono::duration_cast<Milliseconds>(deadline - clock_.now());
    return std::min(makeQueueEntry(context, estimator_).latestStart(), deadline - std::min(minimumRunTime, remaining / 2));
}

/** Does not start the task if its record was written too late, such as after an outage of the table. */
std::optional<Outcome> IdempotencyFilter::refuseLateStart(RequestContext &context,
                                                          const RequestRecord &record,
                                                          TimePoint latestStartTime)
{
    if (clock_.now() <= latestStartTime) {
        return std::nullopt;
    }
    auto notStarted = record;
    notStarted.state = RecordState::NotRun;
    records_.storeOutcome(*context.record, notStarted);
    releaseReservation(context);
    return makeNotRunOutcome(FailureReason::DeadlinePassed,
                             "the request's record was written too late to start the task before the deadline");
}

Outcome IdempotencyFilter::answerFromRecord(RequestContext &context, const ClaimResult &existingClaim)
{
    const auto &record = existingClaim.existingRecord;
    if (record.state == RecordState::NotRun) {
        // Both claims of this attempt lost to other attempts; the next attempt reads the record anew.
        return makeNotRunOutcome(FailureReason::Conflict, "another attempt claimed the request's record first");
    }
    Failure failure;
    const auto answer = records_.loadAnswer(record, context.request.deadline, failure);
    if (!answer) {
        return { OutcomeStatus::Unknown, {}, failure, Milliseconds(1000), record.worker, {} };
    }
    const auto status = record.state == RecordState::Answered ? OutcomeStatus::Answered : OutcomeStatus::TaskFailed;
    return { status, *answer, {}, {}, record.worker, {} };
}

Outcome IdempotencyFilter::resolveClaim(RequestContext &context, const ClaimResult &existingClaim)
{
    const auto key = RequestRecord::rowKey(context.request.team, context.request.idempotencyKey);
    const ClaimedRecord claimed { key, existingClaim.version };
    auto outcome = resolver_.resolve(
        existingClaim.existingRecord.worker, existingClaim.existingRecord.task, startGracePeriod, context.request.deadline);
    auto record = existingClaim.existingRecord;
    switch (outcome.status) {
    case OutcomeStatus::Answered:
    case OutcomeStatus::TaskFailed:
        record.state = outcome.status == OutcomeStatus::Answered ? RecordState::Answered : RecordState::TaskFailed;
        record.answer = outcome.answer;
        records_.storeOutcome(claimed, record);
        return outcome;
    case OutcomeStatus::NotRun:
        // The earlier task can no longer start, so the next attempt may claim the record at its current version.
        context.record = claimed;
        return makeNotRunOutcome(FailureReason::Conflict,
                                 "the task of an earlier attempt was never started; the record can be claimed again");
    case OutcomeStatus::Unknown:
        break;
    }
    return outcome;
}

void IdempotencyFilter::releaseReservation(RequestContext &context)
{
    const auto &reservation = *context.reservation;
    ledger_.release(reservation.shard, reservation.worker, reservation.key);
    context.reservation.reset();
}

} // namespace auburndoor
