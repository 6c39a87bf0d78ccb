#include "pipeline/DispatchFilter.h"

#include "fleet/WorkerManager.h"
#include "membership/MembershipView.h"
#include "peer/Peer.h"
#include "pipeline/RequestContext.h"
#include "pipeline/RequestEstimates.h"
#include "pipeline/RequestRecordStore.h"
#include "pipeline/TaskResolver.h"
#include "placement/RunTimeEstimator.h"
#include "placement/WorkerHealth.h"

#include <algorithm>

namespace auburndoor {

namespace {

/** A start that reaches the worker later than this is refused there. */
constexpr Milliseconds maximumStartDelay { 5000 };
/** How long after the deadline a peer's answer may arrive, since the peer may send it at the deadline. */
constexpr Milliseconds answerTravelTime { 250 };

Milliseconds remaining(TimePoint deadline, TimePoint now)
{
    return std::max(Milliseconds(0), std::chrono::duration_cast<Milliseconds>(deadline - now));
}

/** The part of the remaining time that is kept for asking the worker about the task if no answer comes. */
Milliseconds reservedResolveTime(TimePoint deadline, TimePoint now)
{
    constexpr Milliseconds maximum { 200 };
    constexpr int divisor = 10;
    return std::min(maximum, remaining(deadline, now) / divisor);
}

} // namespace

DispatchFilter::DispatchFilter(const DispatchDependencies &dependencies) : dependencies_(dependencies)
{
}

std::optional<Outcome> DispatchFilter::apply(RequestContext &context)
{
    return context.reservation ? execute(context) : forward(context);
}

Outcome DispatchFilter::forward(RequestContext &context)
{
    const auto &target = context.forwardTo;
    const auto peer = dependencies_.members.peer(target);
    if (!peer) {
        return { OutcomeStatus::NotRun,
                 {},
                 { FailureStep::Forward, target.text(), FailureReason::ConnectionFailed, "the peer is not live" },
                 {},
                 {},
                 {} };
    }
    auto request = context.request;
    ++request.hopCount;
    // Owners derive task ids from the request id; a different id for each attempt of the entry instance keeps them distinct.
    request.id = RequestId(context.task().text());
    auto outcome = peer->execute(request, remaining(request.deadline, dependencies_.clock.now()) + answerTravelTime);
    if (outcome.status == OutcomeStatus::NotRun && outcome.failure.reason == FailureReason::NoCapacity) {
        context.peerRefusals[target] = dependencies_.clock.now();
    }
    return outcome;
}

TaskStart DispatchFilter::makeTaskStart(const RequestContext &context) const
{
    const auto &request = context.request;
    TaskStart start;
    start.id = context.task();
    start.epoch = context.reservation->epoch;
    start.team = request.team;
    start.service = request.service;
    start.need = request.need;
    start.latestStart = dependencies_.clock.wallNow()
                        + std::min(maximumStartDelay, remaining(request.deadline, dependencies_.clock.now()));
    start.lease = dependencies_.taskLease;
    start.body = request.body;
    return start;
}

Outcome DispatchFilter::execute(RequestContext &context)
{
    const auto worker = dependencies_.workers.find(context.reservation->worker);
    Outcome outcome;
    if (!worker || worker->epoch != context.reservation->epoch) {
        outcome.failure = { FailureStep::Start,
                            context.reservation->worker.text(),
                            FailureReason::NotOwner,
                            "this instance no longer owns the worker's shard at the epoch of the reservation" };
    } else {
        context.started = dependencies_.clock.now();
        Failure failure;
        const auto answerDeadline = context.request.deadline - reservedResolveTime(context.request.deadline, context.started);
        const auto result = worker->connection->call(makeTaskStart(context), answerDeadline, failure);
        outcome = processCallResult(context, result, failure);
    }
    settleReservation(context, outcome);
    updateRecord(context, outcome);
    return outcome;
}

Outcome DispatchFilter::processCallResult(RequestContext &context, const CallResult &result, const Failure &failure)
{
    const auto &reservation = *context.reservation;
    const auto &request = context.request;
    Outcome outcome { OutcomeStatus::NotRun, result.answer, failure, {}, reservation.worker, {} };
    switch (result.status) {
    case CallStatus::Answered:
        outcome.status = OutcomeStatus::Answered;
        break;
    case CallStatus::TaskFailed:
        outcome.status = OutcomeStatus::TaskFailed;
        break;
    case CallStatus::NotRun:
        if (failure.reason == FailureReason::StaleEpoch) {
            dependencies_.workers.reportStaleEpoch(reservation.shard, reservation.epoch);
        }
        break;
    case CallStatus::Unknown:
        outcome = dependencies_.resolver.resolve(reservation.worker, context.task(), Milliseconds(0), request.deadline);
        break;
    }
    outcome.waited = std::chrono::duration_cast<Milliseconds>(context.started - request.arrival);
    const auto hasRun = outcome.status == OutcomeStatus::Answered || outcome.status == OutcomeStatus::TaskFailed;
    // A refused start does not count against the worker's health, unless the worker could not be reached.
    if (hasRun || outcome.status == OutcomeStatus::Unknown || failure.reason == FailureReason::ConnectionFailed) {
        if (dependencies_.health.recordStart(reservation.worker, outcome.status == OutcomeStatus::Answered)) {
            dependencies_.ledger.setOpen(reservation.shard, reservation.worker, false);
        }
    }
    if (hasRun) {
        const auto runTime = dependencies_.clock.now() - context.started;
        dependencies_.estimator.observe(request.service, request.kind, runTime);
        dependencies_.estimator.observe(request.service, estimatorKindForLength(context.isLong), runTime);
    }
    return outcome;
}

void DispatchFilter::settleReservation(const RequestContext &context, const Outcome &outcome)
{
    const auto &reservation = *context.reservation;
    if (outcome.status != OutcomeStatus::Unknown) {
        dependencies_.ledger.release(reservation.shard, reservation.worker, reservation.key);
        return;
    }
    // A repeatable task is cancelled, since its caller no longer waits for it. A non-repeatable task that runs is left to end,
    // since its caller can still get the answer with the idempotency key.
    const auto isRunning = outcome.failure.reason == FailureReason::DeadlinePassed;
    if (!context.request.isRepeatable && isRunning) {
        dependencies_.workers.trackTask(reservation);
    } else {
        dependencies_.workers.resolveTask(reservation);
    }
}

void DispatchFilter::updateRecord(const RequestContext &context, const Outcome &outcome)
{
    if (!context.record || outcome.status == OutcomeStatus::Unknown) {
        return;
    }
    RequestRecord record;
    record.task = context.task();
    record.worker = context.reservation->worker;
    record.requestDigest = RequestRecord::digestOf(context.request);
    if (outcome.status == OutcomeStatus::NotRun) {
        record.state = RecordState::NotRun;
    } else {
        record.state = outcome.status == OutcomeStatus::Answered ? RecordState::Answered : RecordState::TaskFailed;
        record.answer = outcome.answer;
    }
    dependencies_.records.storeOutcome(*context.record, record);
}

} // namespace auburndoor
