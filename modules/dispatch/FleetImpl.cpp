#include "dispatch/FleetImpl.h"

#include "observability/EventLog.h"

#include <algorithm>
#include <utility>

namespace auburndoor {

namespace {

// A worker on which most of the last runs failed is avoided for a while; the error rates of healthy workers stay below a tenth.
constexpr std::size_t recordedOutcomes = 6;
constexpr int failuresBeforeAvoidance = 4;
constexpr Milliseconds avoidanceDuration { 4000 };
// The pause after a worker refused a start as unhealthy or for lack of capacity.
constexpr Milliseconds avoidanceAfterRefusal { 400 };
constexpr Milliseconds stopRetryDelay { 300 };
// A task that crashes its worker does so when it starts; a silent worker is noticed at most 1.4 s later.
constexpr Milliseconds maxTimeToCrash { 2000 };
// Longer than any report can be in transit.
constexpr Milliseconds endedRunRetention { 10000 };

} // namespace

Fleet::Impl::Impl(Timers &timers,
                  WorkerClientFactory &factory,
                  FleetListener &listener,
                  FleetTiming timing,
                  std::int64_t fencingToken,
                  OwnershipEvidence &evidence)
    : timers(timers)
    , factory(factory)
    , listener(listener)
    , timing(timing)
    , fencingToken(fencingToken)
    , evidence(evidence)
    , createdAt(timers.now())
{
}

WorkerState &Fleet::Impl::findOrCreate(const WorkerEntry &entry)
{
    auto &workerState = workers[entry.id];
    if (!workerState) {
        workerState = std::make_unique<WorkerState>();
        workerState->entry = entry;
        workerState->client = factory.create(entry, fencingToken);
        workerState->lastReportAt = timers.now();
        noteChange(*workerState);
    }
    return *workerState;
}

WorkerState *Fleet::Impl::find(const std::string &id)
{
    const auto found = workers.find(id);
    return found == workers.end() ? nullptr : found->second.get();
}

Run *Fleet::Impl::findRun(const std::string &id, const RunKey &key)
{
    auto *worker = find(id);
    if (worker == nullptr) {
        return nullptr;
    }
    const auto found = worker->runs.find(key);
    return found == worker->runs.end() ? nullptr : &found->second;
}

void Fleet::Impl::noteChange(WorkerState &worker)
{
    if (!std::exchange(worker.isChangeNoted, true)) {
        changedWorkers.push_back(worker.entry.id);
    }
}

WorkerCrash Fleet::Impl::makePossibleCrash(const WorkerState &worker) const
{
    const auto endedAt = worker.failedPolls > 0 ? worker.silentSince : timers.now();
    WorkerCrash crash { worker.entry.id, worker.entry.address, worker.entry.incarnation, {} };
    // The runs of a draining worker end with its planned stop.
    if (worker.entry.isDraining) {
        return crash;
    }
    const auto isAffected = [&worker](const auto &item) { return item.second.incarnation == worker.entry.incarnation; };
    for (const auto &[key, run] : worker.runs) {
        // A start without an answer that no report has listed may never have arrived, as one that is sent into a cut.
        if (run.incarnation != worker.entry.incarnation || run.confirmedAt == TimePoint()) {
            continue;
        }
        const bool isEarly = endedAt - run.startedAt < maxTimeToCrash;
        WorkerCrash::AffectedRun affected { key, isEarly, isEarly };
        for (const auto &other : worker.runs) {
            if (other.first.task.job != key.task.job && isAffected(other)) {
                affected.isAlone = false;
                affected.isLast = affected.isLast && other.second.startedAt <= run.startedAt;
            }
        }
        crash.runs.push_back(affected);
    }
    return crash;
}

void Fleet::Impl::reportReplacedWorkers(const WorkerEntry &entry)
{
    for (const auto &crash : possibleCrashes.takeReplaced(entry.address, entry.id)) {
        listener.workerCrashed(crash);
    }
}

void Fleet::Impl::addToRoster(WorkerState &worker)
{
    if (worker.isInRoster) {
        return;
    }
    const auto &entry = worker.entry;
    if (!quorum.contains(entry.id) && !mayChangeRoster()) {
        isRosterChangeDelayed = true;
        return;
    }
    quorum.add(entry.id);
    listener.rosterChanged(
        entry, true, [impl = shared_from_this(), id = entry.id, born = entry.incarnation, service = entry.service] {
            auto *rosteredWorker = impl->isClosed ? nullptr : impl->find(id);
            // The row that was stored may be that of an earlier entry, while the present one waits.
            if (rosteredWorker != nullptr && rosteredWorker->entry.incarnation == born
                && rosteredWorker->entry.service == service) {
                rosteredWorker->isInRoster = true;
                impl->noteChange(*rosteredWorker);
                impl->listener.capacityChanged();
            }
        });
}

void Fleet::Impl::removeRun(WorkerState &worker, const RunKey &key)
{
    const auto found = worker.runs.find(key);
    if (found == worker.runs.end()) {
        return;
    }
    worker.used -= found->second.claim.need;
    accountUsage.remove(key, found->second.claim);
    worker.isolatedRuns -= found->second.claim.isIsolated ? 1 : 0;
    if (found->second.isUnwanted) {
        --worker.unwantedRuns;
    }
    worker.runs.erase(found);
    noteChange(worker);
    const auto now = timers.now();
    worker.recentlyEndedRuns[key] = now;
    std::erase_if(worker.recentlyEndedRuns, [now](const auto &entry) { return now - entry.second > endedRunRetention; });
    listener.capacityChanged();
}

Milliseconds Fleet::Impl::elapsedSince(TimePoint time) const
{
    return std::chrono::duration_cast<Milliseconds>(timers.now() - time);
}

void Fleet::Impl::logLoss(const WorkerState &worker, CommandOutcome outcome) const
{
    if (worker.runs.empty()) {
        return;
    }
    const bool isOther = outcome == CommandOutcome::WrongWorker;
    const auto end = leaseEnd(worker);
    const auto *handedOver = worker.isReportRead ? nullptr : handedOverLease(worker);
    EventLog::write("worker.lost",
                    { { "worker", worker.entry.id },
                      { "runs", worker.runs.size() },
                      { "other", isOther },
                      { "outcome", name(outcome) },
                      { "lease",
                        end == ownLeaseEnd(worker) ? "own"
                        : handedOver != nullptr    ? "handed over"
                                                   : "inherited" },
                      { "lease_ended_ms", elapsedSince(end).count() },
                      { "silent_ms", elapsedSince(worker.silentSince).count() },
                      { "report_age_ms", elapsedSince(worker.lastReportAt).count() },
                      { "listed", worker.isListed },
                      { "store_age_ms", evidence.storeAge().count() } });
}

void Fleet::Impl::logOutlivedLease(const WorkerState &worker, const TaskReport &report, TimePoint pollSentAt) const
{
    const auto end = leaseEnd(worker);
    if (report.running.empty() || pollSentAt <= end) {
        return;
    }
    EventLog::write("worker.lease_outlived",
                    { { "worker", worker.entry.id },
                      { "token", fencingToken },
                      { "born", worker.entry.incarnation },
                      { "runs", report.running.size() },
                      { "lease_ended_ms", elapsedSince(end).count() },
                      { "restart_seen_ms", worker.restartSeenAt == TimePoint() ? -1 : elapsedSince(worker.restartSeenAt).count() },
                      { "read", worker.isReportRead } });
}

void Fleet::Impl::logLeft(const WorkerState &worker, CommandOutcome outcome) const
{
    EventLog::write("worker.left",
                    { { "worker", worker.entry.id },
                      { "runs", worker.runs.size() },
                      { "outcome", name(outcome) },
                      { "silent_ms", silenceBeforeRemoval(worker.entry).count() },
                      { "limit_ms", timing.minSilenceBeforeRemoval.count() },
                      { "reports", worker.entry.reportNumber.value_or(-1) },
                      { "unlisted_ms", elapsedSince(worker.unlistedAt).count() },
                      { "lease_ended_ms", elapsedSince(leaseEnd(worker)).count() },
                      { "report_age_ms", elapsedSince(worker.lastReportAt).count() },
                      { "store_age_ms", evidence.storeAge().count() } });
}

void Fleet::Impl::recordOutcome(WorkerState &worker, bool hasFailed)
{
    worker.recentFailures.push_back(hasFailed);
    if (worker.recentFailures.size() > recordedOutcomes) {
        worker.recentFailures.pop_front();
    }
    const auto failures = std::count(worker.recentFailures.begin(), worker.recentFailures.end(), true);
    if (hasFailed && failures >= failuresBeforeAvoidance) {
        worker.avoidUntil = timers.now() + avoidanceDuration;
        // After the pause one more failure leads to the next pause, unless enough successes come first.
        worker.recentFailures.assign(failuresBeforeAvoidance - 1, true);
        EventLog::write("worker.avoided",
                        { { "worker", worker.entry.id }, { "failures", failures }, { "for_ms", avoidanceDuration.count() } });
    }
}

void Fleet::Impl::removeIfGone(const std::string &id)
{
    auto *worker = find(id);
    if (worker == nullptr || worker->isListed || !worker->runs.empty() || worker->hasUnacknowledgedEnds()) {
        return;
    }
    if (!worker->isReportComplete() && worker->failedPolls == 0) {
        return;
    }
    if (!worker->isReportRead && !isLeaseOver(*worker)) {
        return;
    }
    if (!mayChangeRoster()) {
        isRosterChangeDelayed = true;
        return;
    }
    EventLog::write("worker.forgotten", { { "worker", id } });
    listener.rosterChanged(worker->entry, false, [impl = shared_from_this(), id] {
        if (impl->find(id) == nullptr) {
            impl->quorum.remove(id);
        }
    });
    noteChange(*worker);
    workers.erase(id);
    listener.capacityChanged();
}

void Fleet::Impl::updateStartWindow(TimePoint sentAt, const WorkerClient::Reply &reply)
{
    const bool hadRoom = startWindow.hasRoom();
    startWindow.onAnswer(sentAt, timers.now(), reply.outcome != CommandOutcome::Unknown);
    if (!hadRoom && startWindow.hasRoom() && !isClosed) {
        listener.capacityChanged();
    }
}

void Fleet::Impl::onStartReply(const std::string &id, const RunKey &key, const WorkerClient::Reply &reply)
{
    auto *run = isClosed ? nullptr : findRun(id, key);
    if (run == nullptr) {
        return;
    }
    auto &worker = *find(id);
    run->isStartAnswered = reply.outcome != CommandOutcome::Unknown;
    switch (reply.outcome) {
    case CommandOutcome::Accepted:
        if (run->phase == Run::Phase::Starting) {
            run->phase = Run::Phase::Running;
            run->confirmedAt = timers.now();
            run->percentChangedAt = timers.now();
            noteChange(worker);
            listener.runConfirmed(id, *run);
        }
        ensurePolling(worker);
        return;
    case CommandOutcome::Unknown:
        run->phase = Run::Phase::Uncertain;
        EventLog::writeBurst("start.unanswered",
                             { { "task", key.task.text() },
                               { "attempt", key.attempt },
                               { "worker", id },
                               { "token", fencingToken },
                               { "detail", reply.detail } });
        run->uncertainSince = timers.now();
        probe(id);
        ensurePolling(worker);
        return;
    case CommandOutcome::Fenced:
        listener.fenced(id);
        return;
    case CommandOutcome::Unavailable:
    case CommandOutcome::NoCapacity:
        worker.avoidUntil = timers.now() + avoidanceAfterRefusal;
        noteChange(worker);
        break;
    default:
        break;
    }
    EventLog::writeBurst("start.refused",
                         { { "task", key.task.text() },
                           { "attempt", key.attempt },
                           { "worker", id },
                           { "token", fencingToken },
                           { "outcome", name(reply.outcome) } });
    reportLostRun(worker, key, RunLoss::Refused, reply.outcome);
    const bool isOtherIncarnation = reply.outcome == CommandOutcome::OtherIncarnation;
    if (isOtherIncarnation || reply.outcome == CommandOutcome::WrongWorker || reply.outcome == CommandOutcome::NotSent) {
        worker.failedPolls = std::max(worker.failedPolls, 1);
        noteChange(worker);
        schedulePoll(id, Milliseconds(0));
    }
}

void Fleet::Impl::sendStop(const std::string &id, const RunKey &key)
{
    auto *run = isClosed ? nullptr : findRun(id, key);
    if (run == nullptr || run->isStopPending || run->stopAcknowledgedAt) {
        return;
    }
    run->isStopPending = true;
    auto &worker = *find(id);
    if (run->phase == Run::Phase::Running) {
        run->phase = Run::Phase::Stopping;
        noteChange(worker);
    }
    worker.client->stop(key.task, key.attempt, [impl = shared_from_this(), id, key](const WorkerClient::Reply &reply) {
        impl->onStopReply(id, key, reply);
    });
}

void Fleet::Impl::onStopReply(const std::string &id, const RunKey &key, const WorkerClient::Reply &reply)
{
    auto *run = isClosed ? nullptr : findRun(id, key);
    if (run == nullptr) {
        return;
    }
    run->isStopPending = false;
    if (reply.outcome == CommandOutcome::Fenced) {
        listener.fenced(id);
        return;
    }
    if (reply.outcome == CommandOutcome::Accepted || reply.outcome == CommandOutcome::Superseded) {
        run->stopAcknowledgedAt = timers.now();
        if (run->phase == Run::Phase::Uncertain) {
            probe(id);
        }
        ensurePolling(*find(id));
        return;
    }
    timers.after(stopRetryDelay, [impl = shared_from_this(), id, key] { impl->sendStop(id, key); });
}

} // namespace auburndoor
