#include "dispatch/FleetImpl.h"

#include "observability/EventLog.h"

#include <algorithm>

namespace auburndoor {

namespace {

// A worker on which most of the last runs failed is left alone for a while; error rates of sound workers stay below a tenth.
constexpr std::size_t rememberedOutcomes = 6;
constexpr int failuresToAvoid = 4;
constexpr Milliseconds avoidTime { 4000 };
// After a refusal of a worker that calls itself unhealthy, or has less room than it should.
constexpr Milliseconds avoidAfterRefusal { 400 };
constexpr Milliseconds stopRetry { 300 };
// Longer than any report can be on its way.
constexpr Milliseconds overRunMemory { 10000 };
// A lease lasts longer on our clock if the worker's is slow, and an earlier owner learns within this time that it is deposed.
constexpr double slowestClock = 1.0 / 0.98;
constexpr Milliseconds deposedOwnerAllowance { 1500 };

} // namespace

Fleet::Impl::Impl(Timers &timers,
                  WorkerClientFactory &factory,
                  FleetListener &listener,
                  FleetTiming times,
                  std::int64_t fencingToken)
    : timers(timers), factory(factory), listener(listener), times(times), fencingToken(fencingToken), createdAt(timers.now())
{
}

WorkerState &Fleet::Impl::obtain(const WorkerEntry &entry)
{
    auto &slot = workers[entry.id];
    if (!slot) {
        slot = std::make_unique<WorkerState>();
        slot->entry = entry;
        slot->client = factory.create(entry, fencingToken);
        slot->lastReportAt = timers.now();
    }
    return *slot;
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

void Fleet::Impl::changeEntry(WorkerState &worker, const WorkerEntry &entry)
{
    const bool hasRestarted = entry.incarnation > worker.entry.incarnation;
    worker.client->update(entry);
    worker.entry = entry;
    if (!hasRestarted) {
        return;
    }
    EventLog::write("worker.reborn", { { "worker", entry.id }, { "born", entry.incarnation }, { "runs", worker.runs.size() } });
    // A start that was sent before the restart was known may have reached the new life, or may still: its report decides.
    for (auto &[key, run] : worker.runs) {
        run.phase = Run::Phase::Uncertain;
        run.uncertainSince = timers.now();
        run.stopAcknowledgedAt.reset();
        run.stopReason.clear();
    }
    worker.seenEnd = 0;
    worker.acknowledgedEnd = 0;
    worker.recordedEnds.clear();
    worker.deliveredAcknowledgement = 0;
    worker.recentFailures.clear();
    worker.overRuns.clear();
    worker.isRead = false;
    // The roster holds the life of the worker: the new one is entered before anything starts there.
    worker.isRostered = false;
    enroll(worker);
}

void Fleet::Impl::enroll(WorkerState &worker)
{
    if (worker.isRostered) {
        return;
    }
    listener.rosterChanged(worker.entry, true, [impl = shared_from_this(), id = worker.entry.id] {
        if (auto *enrolled = impl->isClosed ? nullptr : impl->find(id)) {
            enrolled->isRostered = true;
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
    if (found->second.isForeign) {
        --worker.foreignRuns;
    }
    worker.runs.erase(found);
    const auto now = timers.now();
    worker.overRuns[key] = now;
    std::erase_if(worker.overRuns, [now](const auto &entry) { return now - entry.second > overRunMemory; });
    listener.capacityChanged();
}

void Fleet::Impl::loseRun(WorkerState &worker, const RunKey &key, RunLoss loss, CommandOutcome outcome)
{
    const auto found = worker.runs.find(key);
    if (found == worker.runs.end()) {
        return;
    }
    const bool isForeign = found->second.isForeign;
    removeRun(worker, key);
    if (!isForeign) {
        listener.runLost(worker.entry.id, key, loss, outcome);
    }
}

void Fleet::Impl::loseAllRuns(WorkerState &worker, RunLoss loss)
{
    std::vector<RunKey> keys;
    for (const auto &[key, run] : worker.runs) {
        keys.push_back(key);
    }
    for (const auto &key : keys) {
        loseRun(worker, key, loss);
    }
}

void Fleet::Impl::noteOutcome(WorkerState &worker, bool hasFailed)
{
    worker.recentFailures.push_back(hasFailed);
    if (worker.recentFailures.size() > rememberedOutcomes) {
        worker.recentFailures.pop_front();
    }
    const auto failures = std::count(worker.recentFailures.begin(), worker.recentFailures.end(), true);
    if (hasFailed && failures >= failuresToAvoid) {
        worker.avoidUntil = timers.now() + avoidTime;
        // After the pause a few successes or one more failure decide.
        worker.recentFailures.assign(failuresToAvoid - 1, true);
        EventLog::write("worker.avoided",
                        { { "worker", worker.entry.id }, { "failures", failures }, { "for_ms", avoidTime.count() } });
    }
}

void Fleet::Impl::forgetIfGone(const std::string &id)
{
    auto *worker = find(id);
    if (worker == nullptr || worker->isListed || !worker->runs.empty() || worker->hasUnacknowledgedEnds()) {
        return;
    }
    const auto inheritedLease = Milliseconds(static_cast<std::int64_t>(static_cast<double>(times.lease.count()) * slowestClock));
    const auto safeAt = std::max(worker->client->leaseEnd(), createdAt + inheritedLease + deposedOwnerAllowance);
    if (!worker->isRead && timers.now() < safeAt) {
        return;
    }
    EventLog::write("worker.forgotten", { { "worker", id } });
    listener.rosterChanged(worker->entry, false, [] {});
    workers.erase(id);
    listener.capacityChanged();
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
            listener.runConfirmed(id, *run);
        }
        ensureLook(worker);
        return;
    case CommandOutcome::Unknown:
        run->phase = Run::Phase::Uncertain;
        EventLog::write("start.unanswered",
                        { { "job", key.task.job }, { "worker", id }, { "attempt", key.attempt }, { "detail", reply.detail } });
        run->uncertainSince = timers.now();
        probe(id);
        ensureLook(worker);
        return;
    case CommandOutcome::Fenced:
        listener.fenced(id);
        return;
    case CommandOutcome::Unavailable:
    case CommandOutcome::NoCapacity:
        worker.avoidUntil = timers.now() + avoidAfterRefusal;
        break;
    default:
        break;
    }
    EventLog::write("start.refused",
                    { { "job", key.task.job }, { "worker", id }, { "attempt", key.attempt }, { "outcome", name(reply.outcome) } });
    loseRun(worker, key, RunLoss::Refused, reply.outcome);
    if (reply.outcome == CommandOutcome::WrongWorker || reply.outcome == CommandOutcome::NotSent) {
        worker.failedLooks = std::max(worker.failedLooks, 1);
        lookAfter(id, Milliseconds(0));
    }
}

void Fleet::Impl::sendStop(const std::string &id, const RunKey &key)
{
    auto *run = isClosed ? nullptr : findRun(id, key);
    if (run == nullptr || run->isStopOnItsWay || run->stopAcknowledgedAt) {
        return;
    }
    run->isStopOnItsWay = true;
    if (run->phase == Run::Phase::Running) {
        run->phase = Run::Phase::Stopping;
    }
    find(id)->client->stop(key.task, key.attempt, [impl = shared_from_this(), id, key](const WorkerClient::Reply &reply) {
        impl->onStopReply(id, key, reply);
    });
}

void Fleet::Impl::onStopReply(const std::string &id, const RunKey &key, const WorkerClient::Reply &reply)
{
    auto *run = isClosed ? nullptr : findRun(id, key);
    if (run == nullptr) {
        return;
    }
    run->isStopOnItsWay = false;
    if (reply.outcome == CommandOutcome::Fenced) {
        listener.fenced(id);
        return;
    }
    if (reply.outcome == CommandOutcome::Accepted || reply.outcome == CommandOutcome::Superseded) {
        run->stopAcknowledgedAt = timers.now();
        if (run->phase == Run::Phase::Uncertain) {
            probe(id);
        }
        ensureLook(*find(id));
        return;
    }
    timers.after(stopRetry, [impl = shared_from_this(), id, key] { impl->sendStop(id, key); });
}

} // namespace auburndoor
