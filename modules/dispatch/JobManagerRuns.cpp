#include "dispatch/JobManager.h"
#include "dispatch/RosterRecordCodec.h"
#include "observability/EventLog.h"

#include <algorithm>
#include <utility>

namespace auburndoor {

RunClaim JobManager::makeClaim(const StepState &state)
{
    const auto &step = state.spec();
    RunClaim claim { step.need, RunKind::Plain, state.job->queue.priority, step.savesProgress && !step.isGang && !step.isService };
    if (step.fillsIdleCapacity) {
        claim.need.milliCores = 0;
        claim.kind = RunKind::BestEffort;
    } else if (step.isService && step.latencyTarget > Milliseconds(0)) {
        claim.kind = RunKind::LatencySensitive;
    }
    claim.account = state.job->spec.account;
    claim.accountNeed = step.need;
    return claim;
}

Task *JobManager::findReportedTask(JobState *job, const TaskName &name)
{
    if (job == nullptr) {
        return nullptr;
    }
    if (job->stage != JobStage::Recording && name.occurrence >= 0 && name.occurrence < job->spec.occurrences
        && !job->hasOccurrence(name.occurrence)) {
        job->addOccurrence(name.occurrence, timers_.now());
        changedJobs_.push_back(name.job);
    }
    return job->task(name);
}

std::optional<RunClaim> JobManager::adoptRun(const std::string &worker, const RunningTask &running)
{
    auto *job = find(running.task.job);
    auto *task = findReportedTask(job, running.task);
    if (task == nullptr || task->isDone || job->stage == JobStage::Recording) {
        return std::nullopt;
    }
    auto &step = *job->step(running.task.occurrence, running.task.step);
    if (!task->runs.empty() && !step.spec().allowsCopies && !step.spec().isGang) {
        return std::nullopt;
    }
    return addReportedRun(*job, *task, worker, running);
}

std::optional<ReadoptedRun> JobManager::readoptRun(const std::string &worker, const RunningTask &running)
{
    auto *job = find(running.task.job);
    auto *task = findReportedTask(job, running.task);
    if (task == nullptr || task->isDone || job->stage == JobStage::Recording) {
        return std::nullopt;
    }
    const auto &step = job->step(running.task.occurrence, running.task.step)->spec();
    const auto others = task->runs;
    const auto claim = addReportedRun(*job, *task, worker, running);
    if (step.isGang) {
        // The other members of its attempt were stopped at the loss. Until it has ended, a gang without runs is not started again.
        return ReadoptedRun { claim, "its gang was stopped" };
    }
    if (!step.allowsCopies) {
        for (const auto &place : others) {
            fleet_->stop(place.worker, { running.task, place.attempt }, "an earlier run goes on");
        }
    }
    return ReadoptedRun { claim, {} };
}

RunClaim JobManager::addReportedRun(JobState &job, Task &task, const std::string &worker, const RunningTask &running)
{
    const auto &step = *job.step(running.task.occurrence, running.task.step);
    const bool isRecorded = task.wasStarted();
    task.lastAttempt = std::max(task.lastAttempt, running.attempt);
    task.runs.push_back({ worker, running.attempt });
    if (step.spec().isService && !isRecorded) {
        // The former owner ended before the record of the start was stored.
        saveTask(job, running.task, {}, CommitQueue::Urgency::Routine);
    }
    changedJobs_.push_back(running.task.job);
    job.hasBegun = true;
    job.stage = JobStage::Running;
    job.shownStage = JobStage::Running;
    return makeClaim(step, task, worker);
}

void JobManager::runConfirmed(const std::string &worker, const Run &run)
{
    auto *job = find(run.key.task.job);
    auto *task = job == nullptr ? nullptr : job->task(run.key.task);
    if (task != nullptr && task->crashes.suspicion() != Suspicion::None) {
        recordHostedRun(*job, *task, worker, run);
    }
    if (job == nullptr) {
        return;
    }
    if (task != nullptr && job->step(run.key.task.occurrence, run.key.task.step)->spec().isService) {
        // A new owner that finds no run of the task has to know that it was at work.
        saveTask(*job, run.key.task, {}, CommitQueue::Urgency::Routine);
    }
    noteBegun(*job);
}

void JobManager::noteBegun(JobState &job)
{
    if (job.hasBegun || job.stage == JobStage::Recording) {
        return;
    }
    job.hasBegun = true;
    if (!isEnded(job.stage)) {
        job.stage = JobStage::Running;
        job.shownStage = JobStage::Running;
    }
    EventLog::writeRateLimited(
        "job.begun",
        { { "job", job.spec.id },
          { "waited_ms", std::chrono::duration_cast<Milliseconds>(timers_.now() - job.receivedAt).count() } });
}

void JobManager::runEnded(const std::string &worker, const EndedTask &ended, std::function<void()> recorded)
{
    auto *job = find(ended.task.job);
    auto *task = findReportedTask(job, ended.task);
    if (task == nullptr) {
        // The job has ended, or its occurrence is done. The worker may forget the run's end once that is stored.
        const auto endedJob = ended_.find(ended.task.job);
        if (job != nullptr || (endedJob != ended_.end() && !endedJob->second.isStored)) {
            saveProgress(ended.task.job, std::move(recorded), CommitQueue::Urgency::Routine);
        } else {
            recorded();
        }
        return;
    }
    auto &step = *job->step(ended.task.occurrence, ended.task.step);
    EventLog::writeRateLimited("run.ended",
                               { { "task", ended.task.text() },
                                 { "attempt", ended.attempt },
                                 { "worker", worker },
                                 { "token", fencingToken_ },
                                 { "how", name(ended.end) } });
    task->lastRun = { { worker, ended.attempt }, name(ended.end) };
    std::erase(task->runs, RunPlace { worker, ended.attempt });
    task->eraseHostedRun({ worker, ended.attempt });
    task->idleSince = timers_.now();
    changedJobs_.push_back(ended.task.job);
    task->lastAttempt = std::max(task->lastAttempt, ended.attempt);
    noteBegun(*job);
    if (!ended.checkpoint.empty() && !task->isDone) {
        task->checkpoint = ended.checkpoint;
    }
    // The end of the run is stored with the job's progress, or with the end of the job if this run leads to it.
    saveEnd(*job, step, ended, std::move(recorded));
    if (!task->isDone && ended.end == RunOutcome::Done && !step.spec().isService) {
        onTaskDone(*job, step, ended.task.index);
    } else if (!task->isDone && ended.end == RunOutcome::Failed) {
        onTaskFailed(*job, step, *task, { worker, ended.attempt });
    } else if (!task->isDone && step.spec().isGang && ended.end != RunOutcome::GangMemberEnded) {
        stopAttemptRuns(step, ended.attempt, name(ended.end).data());
    }
    hooks_.workChanged();
}

void JobManager::saveEnd(JobState &job, const StepState &step, const EndedTask &ended, std::function<void()> recorded)
{
    auto counted = ended.task;
    if (step.spec().isGang && ended.end == RunOutcome::Failed) {
        // onTaskFailed() counts it at the first member, which may be in another part of a wide job.
        counted.index = 0;
    }
    if (job.isWide() && JobPart::of(counted) != JobPart::of(ended.task)) {
        saveTask(job, ended.task, {}, CommitQueue::Urgency::Routine);
    }
    saveTask(job, counted, std::move(recorded), CommitQueue::Urgency::Routine);
}

void JobManager::onTaskDone(JobState &job, StepState &step, int index)
{
    const auto markDone = [&](Task &task, int number) {
        if (task.isDone) {
            return;
        }
        task.isDone = true;
        task.checkpoint.clear();
        ++step.doneCount;
        if (!step.spec().isGang) {
            const auto runs = task.runs;
            for (const auto &place : runs) {
                fleet_->stop(place.worker, { { job.spec.id, step.occurrence, step.index, number }, place.attempt }, "copy is done");
            }
        }
    };
    if (step.spec().isGang) {
        for (std::size_t member = 0; member < step.tasks.size(); ++member) {
            markDone(step.tasks[member], static_cast<int>(member));
        }
    } else {
        markDone(step.tasks[static_cast<std::size_t>(index)], index);
    }
    if (step.isDone()) {
        onStepDone(job, step);
    }
}

void JobManager::onStepDone(JobState &job, StepState &step)
{
    const auto occurrence = job.occurrences.find(step.occurrence);
    for (auto &other : occurrence->second.steps) {
        other.readySince = timers_.now();
    }
    if (!occurrence->second.isDone()) {
        return;
    }
    const int number = occurrence->first;
    job.doneOccurrences.insert(number);
    job.occurrences.erase(occurrence);
    if (job.isWide()) {
        saveProgress(job.spec.id,
                     closeParts(job, [number](const JobPart &part) { return part.occurrence == number; }),
                     CommitQueue::Urgency::Routine);
    }
    if (job.isWorkDone()) {
        endJob(job, JobStage::Completed);
    }
}

void JobManager::onTaskFailed(JobState &job, StepState &step, Task &task, const RunPlace &place)
{
    task.failedOn = place.worker;
    if (step.spec().isService) {
        return;
    }
    // A gang fails as a whole: its failures are counted at its first member, once for each attempt.
    auto &counted = step.spec().isGang ? step.tasks.front() : task;
    counted.failedAttempts.insert(place.attempt);
    if (step.spec().isGang) {
        stopAttemptRuns(step, place.attempt, "member failed");
    }
    if (static_cast<int>(counted.failedAttempts.size()) >= job.queue.maxAttempts) {
        endJob(job, JobStage::Failed);
    }
}

void JobManager::stopStepRuns(StepState &step, const std::string &reason)
{
    for (std::size_t index = 0; index < step.tasks.size(); ++index) {
        const auto runs = step.tasks[index].runs;
        for (const auto &place : runs) {
            fleet_->stop(place.worker,
                         { { step.job->spec.id, step.occurrence, step.index, static_cast<int>(index) }, place.attempt },
                         reason);
        }
    }
}

void JobManager::stopAttemptRuns(StepState &step, std::int64_t attempt, const std::string &reason)
{
    for (std::size_t index = 0; index < step.tasks.size(); ++index) {
        const auto runs = step.tasks[index].runs;
        for (const auto &place : runs) {
            if (place.attempt == attempt) {
                fleet_->stop(
                    place.worker, { { step.job->spec.id, step.occurrence, step.index, static_cast<int>(index) }, attempt }, reason);
            }
        }
    }
}

void JobManager::stopJobRuns(JobState &job, const std::string &reason)
{
    for (auto &[number, occurrence] : job.occurrences) {
        for (auto &step : occurrence.steps) {
            // The other members of a gang whose step is done end by themselves.
            if (!step.isDone()) {
                stopStepRuns(step, reason);
            }
        }
    }
}

void JobManager::endJob(JobState &job, JobStage stage)
{
    const auto id = job.spec.id;
    EventLog::writeRateLimited("job.ended",
                               { { "job", id },
                                 { "stage", name(stage) },
                                 { "queue", job.spec.queue },
                                 { "after_ms", std::chrono::duration_cast<Milliseconds>(timers_.now() - job.receivedAt).count() },
                                 { "late_ms", std::chrono::duration_cast<Milliseconds>(timers_.now() - job.objective).count() } });
    stopJobRuns(job, stage == JobStage::Cancelled ? "cancelled" : "job ended");
    if (job.isInherited && !job.spec.account.empty()) {
        endedInheritedTasks_[id] = InheritedTasks::of(job);
    }
    ended_[id] = { stage, timers_.wallNow(), false, job.spec.account };
    putProgressRow(
        id,
        [this, id, onStored = closeParts(job, [](const JobPart &) { return true; })] {
            onStored();
            if (const auto found = ended_.find(id); found != ended_.end()) {
                found->second.isStored = true;
            }
            // Only once the end is stored: a new owner would find neither the description nor the end of the job.
            dropDescription(id);
        },
        CommitQueue::Urgency::Urgent);
    for (const auto &submitCallback : std::exchange(submitCallbacks_[id], {})) {
        submitCallback(SubmitOutcome::Unknown);
    }
    submitCallbacks_.erase(id);
    jobs_.erase(id);
    changedJobs_.push_back(id);
    hooks_.workChanged();
}

void JobManager::runLost(const std::string &worker, const RunKey &key, RunLoss loss, CommandOutcome outcome)
{
    auto *job = find(key.task.job);
    auto *task = job == nullptr ? nullptr : job->task(key.task);
    EventLog::writeBurst("run.lost",
                         { { "task", key.task.text() },
                           { "attempt", key.attempt },
                           { "worker", worker },
                           { "token", fencingToken_ },
                           { "why", name(loss) },
                           { "outcome", name(outcome) } });
    if (task == nullptr) {
        return;
    }
    task->lastRun = { { worker, key.attempt }, name(loss) };
    std::erase(task->runs, RunPlace { worker, key.attempt });
    const bool hasWorkerEnded = loss == RunLoss::WorkerRestarted || loss == RunLoss::WorkerLeft || loss == RunLoss::WorkerReplaced;
    if (!hasWorkerEnded && loss != RunLoss::LeaseExpired) {
        task->eraseHostedRun({ worker, key.attempt });
    }
    task->idleSince = timers_.now();
    changedJobs_.push_back(key.task.job);
    auto &step = *job->step(key.task.occurrence, key.task.step);
    if (outcome == CommandOutcome::PermitRejected) {
        step.advice.allowed.erase(worker);
    }
    if (step.spec().isGang && !task->isDone) {
        stopAttemptRuns(step, key.attempt, "member lost");
    }
    hooks_.workChanged();
}

void JobManager::checkpointSeen(const RunningTask &running)
{
    auto *job = find(running.task.job);
    auto *task = job == nullptr ? nullptr : job->task(running.task);
    if (task != nullptr && !task->isDone) {
        task->checkpoint = running.checkpoint;
    }
}

void JobManager::fenced(const std::string &)
{
    hooks_.deposed();
}

void JobManager::capacityChanged()
{
    hooks_.workChanged();
}

void JobManager::rosterChanged(const WorkerEntry &entry, bool isMember, std::function<void()> recorded)
{
    const auto text = RosterRecordCodec::write(entry);
    commitQueue_.put(
        JobTables::roster,
        entry.id,
        [text, isMember] { return isMember ? std::optional(text) : std::nullopt; },
        std::move(recorded));
}

void JobManager::rosterEntryChanged(const WorkerEntry &entry)
{
    auto text = RosterRecordCodec::write(entry);
    commitQueue_.put(
        JobTables::roster, entry.id, [text = std::move(text)] { return text; }, {}, CommitQueue::Urgency::Routine);
}

} // namespace auburndoor
