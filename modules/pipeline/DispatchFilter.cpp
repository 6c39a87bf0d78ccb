#include "pipeline/DispatchFilter.h"

#include "fleet/WorkerManager.h"
#include "membership/MembershipView.h"
#include "peer/Peer.h"
#include "pipeline/RequestContext.h"
#include "pipeline/RequestNeeds.h"
#include "pipeline/RequestRecordStore.h"
#include "pipeline/TaskResolver.h"
#include "placement/RunTimeEstimator.h"
#include "placement/WorkerHealth.h"

#include <algorithm>

namespace auburndoor {

namespace {

/** A start that is delayed longer than this is refused by the worker. */
constexpr Milliseconds startWindow { 5000 };
/** Time for the answer of a peer to travel back after the deadline has passed there. */
constexpr Milliseconds answerTravel { 250 };

Milliseconds remaining(TimePoint deadline, TimePoint now)
{
    return std::max(Milliseconds(0), std::chrono::duration_cast<Milliseconds>(deadline - now));
}

/** The part of the remaining time that is kept for asking the worker when no answer comes. */
Milliseconds resolveTime(TimePoint deadline, TimePoint now)
{
    constexpr Milliseconds longest { 200 };
    constexpr int fraction = 10;
    return std::min(longest, remaining(deadline, now) / fraction);
}

} // namespace

DispatchFilter::DispatchFilter(const DispatchDependencies &parts) : parts_(parts)
{
}

std::optional<Outcome> DispatchFilter::apply(RequestContext &context)
{
    return context.reservation ? execute(context) : forward(context);
}

Outcome DispatchFilter::forward(RequestContext &context)
{
    const auto &target = context.forwardTo;
    const auto peer = parts_.members.peer(target);
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
    // Each attempt of the entry instance gets task ids of its own at the owners.
    request.id = RequestId(context.task().text());
    auto outcome = peer->execute(request, remaining(request.deadline, parts_.clock.now()) + answerTravel);
    if (outcome.status == OutcomeStatus::NotRun && outcome.failure.reason == FailureReason::NoCapacity) {
        context.fullPeers[target] = parts_.clock.now();
    }
    return outcome;
}

TaskStart DispatchFilter::describeStart(const RequestContext &context) const
{
    const auto &request = context.request;
    TaskStart start;
    start.id = context.task();
    start.epoch = context.reservation->epoch;
    start.team = request.team;
    start.service = request.service;
    start.need = request.need;
    start.latestStart = parts_.clock.wallNow() + std::min(startWindow, remaining(request.deadline, parts_.clock.now()));
    start.lease = parts_.taskLease;
    start.body = request.body;
    return start;
}

Outcome DispatchFilter::execute(RequestContext &context)
{
    const auto worker = parts_.workers.find(context.reservation->worker);
    Outcome outcome;
    if (!worker || worker->epoch != context.reservation->epoch) {
        outcome.failure = {
            FailureStep::Start, context.reservation->worker.text(), FailureReason::NotOwner, "the worker's shard has moved"
        };
    } else {
        context.started = parts_.clock.now();
        Failure failure;
        const auto collectUntil = context.request.deadline - resolveTime(context.request.deadline, context.started);
        const auto result = worker->connection->call(describeStart(context), collectUntil, failure);
        outcome = conclude(context, result, failure);
    }
    settleRoom(context, outcome);
    settleRecord(context, outcome);
    return outcome;
}

Outcome DispatchFilter::conclude(RequestContext &context, const CallResult &result, const Failure &failure)
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
            parts_.workers.reportStaleEpoch(reservation.shard, reservation.epoch);
        }
        break;
    case CallStatus::Unknown:
        outcome = parts_.resolver.resolve(reservation.worker, context.task(), Milliseconds(0), request.deadline);
        break;
    }
    outcome.waited = std::chrono::duration_cast<Milliseconds>(context.started - request.arrival);
    const auto hasRun = outcome.status == OutcomeStatus::Answered || outcome.status == OutcomeStatus::TaskFailed;
    // A refusal says nothing about the health of a worker, except that it could not be reached.
    if (hasRun || outcome.status == OutcomeStatus::Unknown || failure.reason == FailureReason::ConnectionFailed) {
        if (parts_.health.recordStart(reservation.worker, outcome.status == OutcomeStatus::Answered)) {
            parts_.ledger.setOpen(reservation.shard, reservation.worker, false);
        }
    }
    if (hasRun) {
        const auto runTime = parts_.clock.now() - context.started;
        parts_.estimator.observe(request.service, request.kind, runTime);
        parts_.estimator.observe(request.service, kindOfLength(context.isLong), runTime);
    }
    return outcome;
}

void DispatchFilter::settleRoom(const RequestContext &context, const Outcome &outcome)
{
    const auto &reservation = *context.reservation;
    if (outcome.status != OutcomeStatus::Unknown) {
        parts_.ledger.release(reservation.shard, reservation.worker, reservation.key);
        return;
    }
    // A repeatable task is cancelled, because nobody waits for it any more. One that is not repeatable goes on, because its caller
    // can still obtain the answer with the idempotency key.
    const auto isRunning = outcome.failure.reason == FailureReason::DeadlinePassed;
    if (!context.request.isRepeatable && isRunning) {
        parts_.workers.trackTask(reservation);
    } else {
        parts_.workers.resolveTask(reservation);
    }
}

void DispatchFilter::settleRecord(const RequestContext &context, const Outcome &outcome)
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
    parts_.records.finish(*context.record, record);
}

} // namespace auburndoor
