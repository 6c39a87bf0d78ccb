#include "dispatch/FleetImpl.h"
#include "observability/EventLog.h"

#include <utility>

namespace auburndoor {

void Fleet::Impl::reportLostRun(WorkerState &worker, const RunKey &key, RunLoss loss, CommandOutcome outcome)
{
    const auto found = worker.runs.find(key);
    if (found == worker.runs.end()) {
        return;
    }
    const auto &run = found->second;
    const bool isUnwanted = run.isUnwanted;
    const LostRun lost { loss,           outcome,    timers.now(),     run.incarnation,
                         run.stopReason, isUnwanted, leaseEnd(worker), worker.lastReportAt };
    lostRuns.add(worker.entry.id, key, lost);
    removeRun(worker, key);
    if (loss == RunLoss::Missing && !std::exchange(worker.isProbeScheduled, true)) {
        // A worker without known runs is not polled: one more report shows whether the run goes on.
        timers.after(timing.pollRetryDelay, [impl = shared_from_this(), id = worker.entry.id] {
            auto *probedWorker = impl->isClosed ? nullptr : impl->find(id);
            if (probedWorker != nullptr) {
                probedWorker->isProbeScheduled = false;
                impl->probe(id);
            }
        });
    }
    if (!isUnwanted) {
        listener.runLost(worker.entry.id, key, loss, outcome);
    }
}

void Fleet::Impl::reportAllRunsLost(WorkerState &worker, RunLoss loss)
{
    std::vector<RunKey> keys;
    for (const auto &[key, run] : worker.runs) {
        keys.push_back(key);
    }
    for (const auto &key : keys) {
        reportLostRun(worker, key, loss);
    }
}

void Fleet::Impl::processUnknownRun(WorkerState &worker, const RunningTask &running, TimePoint pollSentAt)
{
    const RunKey key { running.task, running.attempt };
    const auto *found = lostRuns.find(worker.entry.id, key, worker.entry.incarnation);
    if (found == nullptr) {
        if (!worker.recentlyEndedRuns.contains(key)) {
            adoptRun(worker, running);
        }
        return;
    }
    // Reports may overtake each other: one that was requested before the loss may tell of the time before it.
    if (pollSentAt < found->lostAt) {
        return;
    }
    const auto lost = *found;
    lostRuns.erase(worker.entry.id, key);
    worker.recentlyEndedRuns.erase(key);
    logContradiction(worker, key, lost);
    if (lost.isUnwanted || !lost.stopReason.empty()) {
        adoptRun(worker, running, lost.stopReason);
        return;
    }
    const auto readopted = listener.readoptRun(worker.entry.id, running);
    insertReportedRun(worker,
                      running,
                      readopted ? std::optional(readopted->claim) : std::nullopt,
                      readopted ? readopted->stopReason : std::string());
    if (readopted) {
        listener.runConfirmed(worker.entry.id, worker.runs.at(key));
    }
}

void Fleet::Impl::logContradiction(const WorkerState &worker, const RunKey &key, const LostRun &lost) const
{
    const auto between = [](TimePoint from, TimePoint to) { return std::chrono::duration_cast<Milliseconds>(to - from).count(); };
    EventLog::write("run.loss_contradicted",
                    { { "task", key.task.text() },
                      { "attempt", key.attempt },
                      { "worker", worker.entry.id },
                      { "token", fencingToken },
                      { "born", lost.incarnation },
                      { "why", name(lost.loss) },
                      { "detail", name(lost.outcome) },
                      { "lost_ms", elapsedSince(lost.lostAt).count() },
                      { "lease_ended_ms", between(lost.leaseEnd, lost.lostAt) },
                      { "report_age_ms", between(lost.reportedAt, lost.lostAt) } });
}

void Fleet::Impl::adoptRun(WorkerState &worker, const RunningTask &running, const std::string &stopReason)
{
    insertReportedRun(worker, running, listener.adoptRun(worker.entry.id, running), stopReason);
}

void Fleet::Impl::insertReportedRun(WorkerState &worker,
                                    const RunningTask &running,
                                    const std::optional<RunClaim> &claim,
                                    const std::string &stopReason)
{
    const RunKey key { running.task, running.attempt };
    const auto now = timers.now();
    Run run;
    run.key = key;
    run.phase = Run::Phase::Running;
    run.startedAt = now;
    run.confirmedAt = now;
    run.incarnation = worker.entry.incarnation;
    run.percent = running.percent;
    run.percentChangedAt = now;
    run.latencyOrProcessorUse = running.latencyOrProcessorUse;
    run.isUnwanted = !claim;
    run.claim = claim ? *claim : listener.claimOfUnwanted(running);
    run.stopReason = claim ? stopReason : "unwanted";
    worker.used += run.claim.need;
    accountUsage.add(run.claim);
    worker.isolatedRuns += run.claim.isIsolated ? 1 : 0;
    worker.unwantedRuns += run.isUnwanted ? 1 : 0;
    worker.runs.emplace(key, run);
    EventLog::writeBurst(claim ? "run.adopted" : "run.unwanted",
                         { { "task", key.task.text() },
                           { "attempt", key.attempt },
                           { "worker", worker.entry.id },
                           { "token", fencingToken },
                           { "percent", running.percent } });
    if (!run.stopReason.empty()) {
        sendStop(worker.entry.id, key);
    }
    if (claim && !running.checkpoint.empty()) {
        listener.checkpointSeen(running);
    }
}

} // namespace auburndoor
