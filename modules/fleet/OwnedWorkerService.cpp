#include "fleet/OwnedWorkerService.h"

#include "core/Failure.h"
#include "core/RandomId.h"
#include "fleet/WorkerManager.h"
#include "observability/Metrics.h"

namespace auburndoor {

namespace {

Failure makeNotOwnerFailure(FailureStep step, const WorkerId &worker)
{
    return { step, worker.text(), FailureReason::NotOwner, "this instance does not own worker " + worker.text() };
}

} // namespace

OwnedWorkerService::OwnedWorkerService(Clock &clock, Metrics &metrics, CapacityLedger &ledger, WorkerManager &workers)
    : clock_(clock), metrics_(metrics), ledger_(ledger), workers_(workers)
{
}

std::vector<Hold> OwnedWorkerService::hold(const HoldRequest &request)
{
    std::vector<Hold> result;
    PlacementNeed need { request.service, request.need, true, 0, {} };
    const auto expiry = clock_.now() + request.timeLimit;
    for (int index = 0; index < request.count; ++index) {
        const auto holdId = "hold-" + makeRandomId();
        const auto reservation = ledger_.reserve(need, { holdId, request.team, request.need, true });
        if (!reservation) {
            break;
        }
        const std::lock_guard lock(mutex_);
        holds_[holdId] = { *reservation, expiry };
        result.push_back({ reservation->worker, holdId });
    }
    return result;
}

void OwnedWorkerService::release(const std::vector<Hold> &holds)
{
    for (const auto &hold : holds) {
        std::optional<Reservation> reservation;
        {
            const std::lock_guard lock(mutex_);
            if (const auto found = holds_.find(hold.holdId); found != holds_.end()) {
                reservation = found->second.reservation;
                holds_.erase(found);
            }
        }
        if (reservation) {
            ledger_.release(reservation->shard, reservation->worker, reservation->key);
        }
    }
}

std::optional<Reservation> OwnedWorkerService::assignHold(const Hold &hold, const TaskId &task)
{
    std::optional<Reservation> held;
    {
        const std::lock_guard lock(mutex_);
        const auto found = holds_.find(hold.holdId);
        if (found == holds_.end()) {
            return std::nullopt;
        }
        held = found->second.reservation;
        holds_.erase(found);
    }
    return ledger_.rename(held->shard, held->key, task.text());
}

CallResult OwnedWorkerService::startHeld(const Hold &hold, const TaskStart &start, Milliseconds timeout, Failure &failure)
{
    const auto reservation = assignHold(hold, start.id);
    if (!reservation) {
        failure = { FailureStep::Start, hold.worker.text(), FailureReason::NotOwner, "the hold " + hold.holdId + " has lapsed" };
        return { CallStatus::NotRun, {} };
    }
    const auto worker = workers_.find(hold.worker);
    if (!worker || worker->epoch != reservation->epoch) {
        ledger_.release(reservation->shard, reservation->worker, reservation->key);
        failure = makeNotOwnerFailure(FailureStep::Start, hold.worker);
        return { CallStatus::NotRun, {} };
    }
    auto order = start;
    order.epoch = reservation->epoch;
    auto result = worker->connection->start(order, clock_.now() + timeout, failure);
    if (result.status == CallStatus::Answered) {
        workers_.trackTask(*reservation);
    } else if (result.status == CallStatus::Unknown) {
        workers_.resolveTask(*reservation);
    } else {
        ledger_.release(reservation->shard, reservation->worker, reservation->key);
    }
    if (failure.reason == FailureReason::StaleEpoch) {
        workers_.reportStaleEpoch(reservation->shard, reservation->epoch);
    }
    return result;
}

std::optional<TaskStatus> OwnedWorkerService::queryTask(const WorkerId &worker,
                                                        const TaskId &task,
                                                        Milliseconds timeout,
                                                        Failure &failure)
{
    if (workers_.roster().isReportedRunning(worker, task)) {
        TaskStatus running;
        running.id = task;
        running.state = TaskState::Running;
        return running;
    }
    const auto owned = workers_.find(worker);
    if (!owned) {
        failure = makeUnavailableFailure(FailureStep::Collect, worker);
        return std::nullopt;
    }
    auto state = owned->connection->query(task, clock_.now() + timeout, failure);
    if (!state) {
        failure = makeNoAnswerFailure(worker, failure);
    }
    return state;
}

std::vector<TaskId> OwnedWorkerService::runningTasks(const JobId &job) const
{
    return workers_.roster().reportedRunning(job);
}

std::optional<TaskStatus> OwnedWorkerService::cancelTask(const WorkerId &worker,
                                                         const TaskId &task,
                                                         Milliseconds timeout,
                                                         Failure &failure)
{
    const auto owned = workers_.find(worker);
    if (!owned) {
        failure = makeUnavailableFailure(FailureStep::Cancel, worker);
        return std::nullopt;
    }
    auto state = owned->connection->cancel(task, owned->epoch, clock_.now() + timeout, failure);
    if (!state) {
        failure = makeNoAnswerFailure(worker, failure);
    }
    if (state && state->state != TaskState::Running) {
        ledger_.release(owned->shard, worker, task.text());
    }
    return state;
}

/**
    ConnectionFailed with the worker as the peer tells the driver of a job that the worker's tasks have ended and may be started
    elsewhere.
*/
Failure OwnedWorkerService::makeUnavailableFailure(FailureStep step, const WorkerId &worker) const
{
    if (workers_.roster().haveTaskLeasesLapsed(worker)) {
        return { step, worker.text(), FailureReason::ConnectionFailed, "the worker is gone, and its task leases have lapsed" };
    }
    if (workers_.roster().isUnclaimed(worker)) {
        return { step, worker.text(), FailureReason::NotReady, "the worker has not been claimed yet" };
    }
    return makeNotOwnerFailure(step, worker);
}

/** A worker that does not answer may run its tasks until their leases have lapsed; until then the failure is NotReady. */
Failure OwnedWorkerService::makeNoAnswerFailure(const WorkerId &worker, const Failure &failure) const
{
    if (workers_.roster().haveTaskLeasesLapsed(worker)) {
        return { failure.step, worker.text(), FailureReason::ConnectionFailed, failure.message + "; its task leases have lapsed" };
    }
    return { failure.step, worker.text(), FailureReason::NotReady, failure.message + "; its tasks may still run" };
}

void OwnedWorkerService::releaseLapsedHolds()
{
    std::vector<Hold> lapsed;
    const auto now = clock_.now();
    {
        const std::lock_guard lock(mutex_);
        for (const auto &[id, held] : holds_) {
            if (held.expiry <= now) {
                lapsed.push_back({ held.reservation.worker, id });
            }
        }
    }
    if (!lapsed.empty()) {
        metrics_.count("holds_lapsed_total", {}, static_cast<long long>(lapsed.size()));
        release(lapsed);
    }
}

std::size_t OwnedWorkerService::holdCount() const
{
    const std::lock_guard lock(mutex_);
    return holds_.size();
}

} // namespace auburndoor
