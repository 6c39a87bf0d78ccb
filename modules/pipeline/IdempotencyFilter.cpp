#include "pipeline/IdempotencyFilter.h"

#include "pipeline/RequestContext.h"
#include "pipeline/RequestNeeds.h"
#include "pipeline/RequestRecordStore.h"
#include "pipeline/TaskResolver.h"

#include <algorithm>

namespace auburndoor {

namespace {

/** Time for the start of another attempt's task to reach its worker before the task is forbidden. */
constexpr Milliseconds startGrace { 1000 };

Outcome notRun(FailureReason reason, std::string message)
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
    const auto expected = context.record ? context.record->version : 0;
    const auto startBy = latestStart(context);
    auto claim = records_.claim(key, expected, record, startBy, failure);
    if (claim.status == ClaimStatus::Taken && claim.present.state == RecordState::NotRun) {
        claim = records_.claim(key, claim.version, record, startBy, failure);
    }
    if (claim.status == ClaimStatus::Claimed) {
        context.record = ClaimedRecord { key, claim.version };
        return refuseLateStart(context, record, startBy);
    }
    releaseRoom(context);
    if (claim.status == ClaimStatus::Failed) {
        return Outcome { OutcomeStatus::NotRun, {}, failure, Milliseconds(1000), {}, {} };
    }
    if (claim.present.requestDigest != record.requestDigest) {
        return notRun(FailureReason::DuplicateKey, "the idempotency key was used for a different request");
    }
    return claim.present.state == RecordState::Claimed ? resolveClaim(context, claim) : answerFromRecord(context, claim);
}

/** The last moment at which a start makes sense: a task that begins at its deadline would end as unknown. */
TimePoint IdempotencyFilter::latestStart(const RequestContext &context) const
{
    constexpr Milliseconds shortestRun { 100 };
    const auto deadline = context.request.deadline;
    const auto remaining = std::chrono::duration_cast<Milliseconds>(deadline - clock_.now());
    return std::min(queueEntryOf(context, estimator_).latestStart(), deadline - std::min(shortestRun, remaining / 2));
}

/** The record may have been written late, as after an outage of the table; its task is then not started. */
std::optional<Outcome> IdempotencyFilter::refuseLateStart(RequestContext &context, const RequestRecord &record, TimePoint startBy)
{
    if (clock_.now() <= startBy) {
        return std::nullopt;
    }
    auto notStarted = record;
    notStarted.state = RecordState::NotRun;
    records_.finish(*context.record, notStarted);
    releaseRoom(context);
    return notRun(FailureReason::DeadlinePassed, "the record was written too late for a start before the deadline");
}

Outcome IdempotencyFilter::answerFromRecord(RequestContext &context, const ClaimResult &taken)
{
    const auto &record = taken.present;
    if (record.state == RecordState::NotRun) {
        // Another attempt was quicker twice; the next round meets its claim.
        return notRun(FailureReason::Conflict, "another attempt holds the record");
    }
    Failure failure;
    const auto answer = records_.answerOf(record, context.request.deadline, failure);
    if (!answer) {
        return { OutcomeStatus::Unknown, {}, failure, Milliseconds(1000), record.worker, {} };
    }
    const auto status = record.state == RecordState::Answered ? OutcomeStatus::Answered : OutcomeStatus::TaskFailed;
    return { status, *answer, {}, {}, record.worker, {} };
}

Outcome IdempotencyFilter::resolveClaim(RequestContext &context, const ClaimResult &taken)
{
    const auto key = RequestRecord::rowKey(context.request.team, context.request.idempotencyKey);
    const ClaimedRecord claimed { key, taken.version };
    auto outcome = resolver_.resolve(taken.present.worker, taken.present.task, startGrace, context.request.deadline);
    auto record = taken.present;
    switch (outcome.status) {
    case OutcomeStatus::Answered:
    case OutcomeStatus::TaskFailed:
        record.state = outcome.status == OutcomeStatus::Answered ? RecordState::Answered : RecordState::TaskFailed;
        record.answer = outcome.answer;
        records_.finish(claimed, record);
        return outcome;
    case OutcomeStatus::NotRun:
        // The earlier task can never start any more, so that the record may be claimed from its present version.
        context.record = claimed;
        return notRun(FailureReason::Conflict, "an earlier attempt was never started");
    case OutcomeStatus::Unknown:
        break;
    }
    return outcome;
}

void IdempotencyFilter::releaseRoom(RequestContext &context)
{
    const auto &reservation = *context.reservation;
    ledger_.release(reservation.shard, reservation.worker, reservation.key);
    context.reservation.reset();
}

} // namespace auburndoor
