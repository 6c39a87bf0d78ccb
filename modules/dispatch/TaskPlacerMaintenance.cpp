#include "dispatch/TaskPlacer.h"
#include "observability/EventLog.h"

#include <algorithm>

namespace auburndoor {

namespace {

// A run is slow once it has taken longer than this time and than this multiple of its estimate. It gets a copy if its remaining
// time is at least the estimate of a new run.
constexpr Milliseconds minElapsedBeforeCopy { 500 };
constexpr double slowTaskFactor = 1.3;
// A task of a running service that has not been at work for longer is logged.
constexpr Milliseconds maxServiceAbsence { 2000 };

} // namespace

void TaskPlacer::tend()
{
    now_ = timers_.now();
    unreadByService_.clear();
    applyChanges();
    for (const auto &[id, job] : jobManager_.jobs()) {
        const bool isStartable = mayStart(*job);
        for (auto &[number, occurrence] : job->occurrences) {
            for (auto &step : occurrence.steps) {
                reportWaitingServiceTasks(step);
                if (!isStartable) {
                    continue;
                }
                stopRunsOnDrainingWorkers(step);
                if (!step.spec().allowsCopies || step.isDone()) {
                    continue;
                }
                if (job->isServiceStored()) {
                    startSpeculativeCopies(step);
                } else {
                    jobManager_.storeService(*job);
                }
            }
        }
    }
    for (const auto &[id, worker] : fleet_.workers()) {
        throttleBestEffortRuns(*worker);
    }
}

bool TaskPlacer::isWaitingForReports() const
{
    return hasJobsWaitingForReports_;
}

void TaskPlacer::startSpeculativeCopies(StepState &step)
{
    const auto estimate = step.spec().estimate;
    auto candidates = std::vector<Candidate>();
    if (countStartable(step, 1) < 1) {
        return;
    }
    for (std::size_t index = 0; index < step.tasks.size(); ++index) {
        auto &task = step.tasks[index];
        if (task.isDone || task.runs.size() != 1 || task.crashes.suspicion() != Suspicion::None) {
            continue;
        }
        const auto place = task.runs.front();
        const auto *run = fleet_.run(
            place.worker, { { step.job->spec.id, step.occurrence, step.index, static_cast<int>(index) }, place.attempt });
        const auto *worker = fleet_.worker(place.worker);
        if (run == nullptr || worker == nullptr || run->confirmedAt == TimePoint()) {
            continue;
        }
        const auto elapsed = std::chrono::duration_cast<Milliseconds>(now_ - run->confirmedAt);
        const bool isSlow = elapsed > minElapsedBeforeCopy
                            && static_cast<double>(elapsed.count()) > static_cast<double>(estimate.count()) * slowTaskFactor;
        const auto remaining = run->percent <= 0 ? elapsed * 10 : elapsed * (100 - run->percent) / run->percent;
        if (worker->failedPolls == 0 && (!isSlow || remaining < estimate)) {
            continue;
        }
        if (candidates.empty()) {
            candidates = findCandidates(step);
            std::erase_if(candidates, [&place](const Candidate &candidate) {
                return candidate.workerCapacity->worker->entry.id == place.worker;
            });
        }
        if (countStartable(step, 1) < 1) {
            return;
        }
        if (auto *candidate = chooseCandidate(step, task, candidates, {})) {
            EventLog::writeRateLimited("run.copied",
                                       { { "task", run->key.task.text() },
                                         { "attempt", place.attempt },
                                         { "worker", place.worker },
                                         { "token", jobManager_.fencingToken_ },
                                         { "percent", run->percent },
                                         { "elapsed_ms", elapsed.count() } });
            start(step, static_cast<int>(index), *candidate, jobManager_.nextAttempt(task));
        } else if (step.job->queue.advice) {
            requestAdvice(step, 1, false);
        }
    }
}

TaskPlacer::ServiceWait TaskPlacer::findServiceWait(StepState &step)
{
    const auto &job = *step.job;
    if (job.isInherited && mayHaveUnknownRuns(job)) {
        return { "reports", 0 };
    }
    if (!job.isServiceStored()) {
        return { "store", 0 };
    }
    const bool needsPermit = job.queue.advice.has_value();
    const auto runsByWorker = countRunsByWorker(step);
    int usableWorkers = 0;
    bool hasRoom = false;
    for (auto &workerCapacity : getServiceCapacity(step).workerCapacities()) {
        if (needsPermit && findPermit(step, workerCapacity) == nullptr) {
            continue;
        }
        usableWorkers += workerCapacity.isUsable ? 1 : 0;
        hasRoom = hasRoom || makeCandidate(step, workerCapacity, runsByWorker);
    }
    if (hasRoom) {
        return { fleet_.maySendStart() ? "turn" : "starts limited", usableWorkers };
    }
    if (step.advice.pendingRequests > 0) {
        return { "advice", usableWorkers };
    }
    return { needsPermit && usableWorkers == 0 ? "no permit" : "no room", usableWorkers };
}

void TaskPlacer::reportWaitingServiceTasks(StepState &step)
{
    if (!step.spec().isService || !step.job->hasBegun || quotas_.isAtLimit(step, now_)) {
        return;
    }
    int waitingTasks = 0;
    Milliseconds longestWait { 0 };
    for (const auto &task : step.tasks) {
        const auto wait = std::chrono::duration_cast<Milliseconds>(now_ - std::max(task.idleSince, step.readySince));
        if (task.isIdle() && wait > maxServiceAbsence) {
            ++waitingTasks;
            longestWait = std::max(longestWait, wait);
        }
    }
    if (waitingTasks > 0) {
        const auto rank = computeRank(step, now_);
        const auto wait = findServiceWait(step);
        EventLog::writeRateLimited("service.waiting",
                                   { { "job", step.job->spec.id },
                                     { "tasks", waitingTasks },
                                     { "waited_ms", longestWait.count() },
                                     { "why", wait.why },
                                     { "ranked_repair", rank.isRepair },
                                     { "ranked_lost", rank.isLost },
                                     { "usable", wait.usableWorkers },
                                     { "allowed", step.advice.allowed.size() },
                                     { "pending_requests", step.advice.pendingRequests } });
    }
}

void TaskPlacer::stopRunsOnDrainingWorkers(StepState &step)
{
    if (step.isDone() || (!step.spec().isService && !step.spec().savesProgress)) {
        return;
    }
    for (std::size_t index = 0; index < step.tasks.size(); ++index) {
        const auto runs = step.tasks[index].runs;
        for (const auto &place : runs) {
            const auto *worker = fleet_.worker(place.worker);
            if (worker != nullptr && worker->entry.isDraining) {
                jobManager_.stopRun(step, static_cast<int>(index), place, "worker is draining");
            }
        }
    }
}

void TaskPlacer::throttleBestEffortRuns(WorkerState &worker)
{
    bool hasLatencySensitiveRun = false;
    for (const auto &[key, run] : worker.runs) {
        hasLatencySensitiveRun = hasLatencySensitiveRun || run.claim.kind == RunKind::LatencySensitive;
    }
    // Best-effort tasks are paused beside a latency-sensitive task, because they would raise its tail latency.
    const int percent = hasLatencySensitiveRun ? 0 : 100;
    for (auto &[key, run] : worker.runs) {
        if (run.claim.kind == RunKind::BestEffort && run.phase == Run::Phase::Running && run.speedPercent != percent) {
            fleet_.throttle(worker.entry.id, key, percent);
        }
    }
}

} // namespace auburndoor
