#include "dispatch/JobManager.h"
#include "observability/EventLog.h"

#include <algorithm>

namespace auburndoor {

namespace {

// A task that crashes its worker does so soon after its start.
constexpr Milliseconds soundRunTime { 10000 };
// A job whose turn has come is not held back for longer by a crowded service.
constexpr Milliseconds maxWaitForIsolation { 1500 };

} // namespace

bool JobManager::isWaitingForIsolation(const Task &task) const
{
    return task.crashes.suspicion() == Suspicion::Isolated && timers_.now() - task.idleSince < maxWaitForIsolation;
}

RunClaim JobManager::makeClaim(const StepState &step, const Task &task, const std::string &worker) const
{
    auto claim = makeClaim(step);
    const auto suspicion = task.crashes.suspicion();
    claim.isSuspected = suspicion != Suspicion::None;
    const auto *found = fleet_->worker(worker);
    claim.isIsolated = suspicion >= Suspicion::Isolated && found != nullptr && !found->hasOtherJobs(step.job->spec.id);
    return claim;
}

void JobManager::restoreHostedRuns(JobState &job)
{
    for (auto &[number, occurrence] : job.occurrences) {
        for (auto &step : occurrence.steps) {
            for (std::size_t index = 0; index < step.tasks.size(); ++index) {
                auto &task = step.tasks[index];
                if (task.crashes.suspicion() != Suspicion::None) {
                    suspectedJobs_.insert(job.spec.id);
                    task.idleSince = timers_.now();
                }
                for (const auto &run : task.hostedRuns) {
                    const TaskName name { job.spec.id, number, step.index, static_cast<int>(index) };
                    fleet_->expectRun(run.worker, run.incarnation, { { name, run.attempt }, run.isAlone, run.isLast });
                }
            }
        }
    }
}

void JobManager::recordHostedRun(JobState &job, Task &task, const std::string &worker, const Run &run)
{
    const auto *host = fleet_->worker(worker);
    task.setHostedRun({ worker, run.incarnation, run.key.attempt, host != nullptr && !host->hasOtherJobs(job.spec.id), true });
    // A crash may follow within milliseconds, and the next owner counts it by this record.
    saveTask(job, run.key.task, {}, CommitQueue::Urgency::Urgent);
}

void JobManager::workerSilent(const WorkerCrash &possibleCrash)
{
    for (const auto &run : possibleCrash.runs) {
        auto *job = find(run.key.task.job);
        auto *task = job == nullptr ? nullptr : job->task(run.key.task);
        if (task != nullptr && !task->isDone) {
            task->setHostedRun({ possibleCrash.worker, possibleCrash.incarnation, run.key.attempt, run.isAlone, run.isLast });
            saveTask(*job, run.key.task, {}, CommitQueue::Urgency::Routine);
        }
    }
}

void JobManager::workerCrashed(const WorkerCrash &crash)
{
    for (const auto &run : crash.runs) {
        auto *job = find(run.key.task.job);
        auto *task = job == nullptr ? nullptr : job->task(run.key.task);
        if (task != nullptr && !task->isDone) {
            recordCrash(*job, *task, run.key, { crash.worker, crash.incarnation, run.key.attempt, run.isAlone, run.isLast });
        }
    }
    hooks_.workChanged();
}

void JobManager::recordCrash(JobState &job, Task &task, const RunKey &key, const HostedRun &crash)
{
    task.eraseHostedRun({ crash.worker, key.attempt });
    if (!task.crashes.record(crash)) {
        return;
    }
    task.failedOn = crash.worker;
    suspectedJobs_.insert(job.spec.id);
    changedJobs_.push_back(job.spec.id);
    EventLog::writeBurst("run.crashed",
                         { { "task", key.task.text() },
                           { "attempt", key.attempt },
                           { "worker", crash.worker },
                           { "token", fencingToken_ },
                           { "born", crash.incarnation },
                           { "alone", crash.isAlone ? 1 : 0 },
                           { "last", crash.isLast ? 1 : 0 },
                           { "crashes", task.crashes.crashes().size() } });
    if (task.crashes.suspicion() != Suspicion::Proven) {
        // As urgent as the removal of the worker from the roster, after which a new owner could not find the crash.
        saveTask(job, key.task, {}, CommitQueue::Urgency::Urgent);
        return;
    }
    EventLog::writeBurst("job.given_up", { { "task", key.task.text() }, { "crashes", task.crashes.crashes().size() } });
    endJob(job, JobStage::Failed);
}

void JobManager::clearSoundTasks()
{
    std::erase_if(suspectedJobs_, [this](const std::string &id) {
        auto *job = find(id);
        bool isSuspected = false;
        if (job == nullptr) {
            return true;
        }
        for (auto &[number, occurrence] : job->occurrences) {
            for (auto &step : occurrence.steps) {
                for (int index = 0; index < static_cast<int>(step.tasks.size()); ++index) {
                    isSuspected = clearIfSound(step, index) || isSuspected;
                }
            }
        }
        return !isSuspected;
    });
}

bool JobManager::clearIfSound(StepState &step, int index)
{
    auto &task = step.tasks[static_cast<std::size_t>(index)];
    if (task.isDone || task.crashes.suspicion() == Suspicion::None) {
        return false;
    }
    for (const auto &place : task.runs) {
        const auto *run = fleet_->run(place.worker, { { step.job->spec.id, step.occurrence, step.index, index }, place.attempt });
        if (run == nullptr || run->phase != Run::Phase::Running || timers_.now() - run->confirmedAt < soundRunTime) {
            continue;
        }
        task.crashes.clear();
        task.hostedRuns.clear();
        fleet_->clearSuspicion(place.worker, run->key);
        EventLog::writeRateLimited("task.cleared",
                                   { { "task", run->key.task.text() }, { "attempt", place.attempt }, { "worker", place.worker } });
        saveTask(*step.job, run->key.task, {}, CommitQueue::Urgency::Routine);
        return false;
    }
    return true;
}

} // namespace auburndoor
