#include "dispatch/JobManager.h"

#include "dispatch/JobRecordCodec.h"
#include "observability/EventLog.h"

#include <algorithm>
#include <utility>

namespace auburndoor {

namespace {

// Jobs with an objective are past their final deadline by then.
constexpr Milliseconds maxInheritedAge { 60000 };
// Multiples of the time to an objective must not leave the range of a time point.
constexpr Milliseconds maxTimeToObjective = std::chrono::hours(24 * 366);

} // namespace

JobManager::JobManager(Timers &timers, CommitQueue &commitQueue, std::int64_t fencingToken, Hooks hooks)
    : timers_(timers), commitQueue_(commitQueue), fencingToken_(fencingToken), hooks_(std::move(hooks))
{
}

void JobManager::setFleet(Fleet &fleet)
{
    fleet_ = &fleet;
}

void JobManager::restore(const std::string &id,
                         const std::string &description,
                         const std::string &progress,
                         const StoredParts &parts)
{
    auto job = std::make_unique<JobState>();
    job->spec.id = id;
    if (!JobRecordCodec::readDescription(description, *job)) {
        EventLog::write("record.unreadable", { { "job", id }, { "table", JobTables::jobs } });
        return;
    }
    job->stage = JobStage::Queued;
    if (!progress.empty() && !JobRecordCodec::readProgress(progress, *job, timers_.now())) {
        EventLog::write("record.unreadable", { { "job", id }, { "table", JobTables::progress } });
    }
    restoreParts(*job, parts);
    job->shownStage = job->stage;
    job->isInherited = true;
    // Its age counts for its rank, or a backlog past its deadlines would go before newer jobs. The wall clock may have jumped.
    const auto age = std::chrono::duration_cast<Milliseconds>(timers_.wallNow() - job->acceptedAt);
    job->receivedAt = timers_.now() - std::clamp(age, Milliseconds(0), maxInheritedAge);
    initialize(*job);
    restoreHostedRuns(*job);
    jobs_[id] = std::move(job);
    changedJobs_.push_back(id);
}

void JobManager::restoreEnded(const std::string &id, const EndedJob &ended)
{
    ended_[id] = ended;
    jobs_.erase(id);
    changedJobs_.push_back(id);
}

JobState *JobManager::find(const std::string &id)
{
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : found->second.get();
}

Milliseconds JobManager::allowedTime(const QueueSpec &queue, Milliseconds pathTime)
{
    const auto allowed = static_cast<double>(pathTime.count()) * queue.slackFactor;
    return queue.latencyAllowance
           + Milliseconds(static_cast<std::int64_t>(std::min(allowed, static_cast<double>(maxTimeToObjective.count()))));
}

void JobManager::initialize(JobState &job)
{
    followImageTimes(job);
    const auto &queue = job.queue;
    job.objective = job.receivedAt + allowedTime(queue, job.criticalPathTime());
    if (!job.spec.isScheduled && job.occurrences.empty() && job.doneOccurrences.empty()) {
        job.addNextOccurrence(timers_.now());
    }
}

void JobManager::submit(JobSpec spec, const QueueSpec &queue, SubmitCallback callback)
{
    if (ended_.contains(spec.id)) {
        callback(SubmitOutcome::Accepted);
        return;
    }
    if (auto *known = find(spec.id)) {
        if (known->stage == JobStage::Recording) {
            submitCallbacks_[spec.id].push_back(std::move(callback));
        } else {
            callback(SubmitOutcome::Accepted);
        }
        return;
    }
    auto job = std::make_unique<JobState>();
    const auto id = spec.id;
    job->spec = std::move(spec);
    job->queue = queue;
    job->services[queue.service] = true;
    job->acceptedAt = timers_.wallNow();
    job->receivedAt = timers_.now();
    initialize(*job);
    auto description = JobRecordCodec::description(*job);
    if (description.size() > commitQueue_.maxRowBytes()) {
        EventLog::write("job.too_large",
                        { { "job", id }, { "bytes", description.size() }, { "limit", commitQueue_.maxRowBytes() } });
        callback(SubmitOutcome::TooLarge);
        return;
    }
    submitCallbacks_[id].push_back(std::move(callback));
    commitQueue_.put(
        JobTables::jobs,
        id,
        [text = std::move(description)] { return text; },
        [this, id] {
            auto *stored = find(id);
            if (stored != nullptr && stored->stage == JobStage::Recording) {
                stored->stage = JobStage::Queued;
                stored->shownStage = JobStage::Queued;
                changedJobs_.push_back(id);
                EventLog::writeRateLimited(
                    "job.accepted", { { "job", id }, { "queue", stored->spec.queue }, { "steps", stored->spec.steps.size() } });
            }
            for (const auto &submitCallback : std::exchange(submitCallbacks_[id], {})) {
                submitCallback(SubmitOutcome::Accepted);
            }
            submitCallbacks_.erase(id);
            hooks_.workChanged();
        });
    jobs_[id] = std::move(job);
    changedJobs_.push_back(id);
}

bool JobManager::withdraw(const std::string &id)
{
    const auto *job = find(id);
    if (job == nullptr || job->stage != JobStage::Recording || !commitQueue_.withdraw(JobTables::jobs, id)) {
        return false;
    }
    jobs_.erase(id);
    changedJobs_.push_back(id);
    const auto submitCallbacks = std::exchange(submitCallbacks_[id], {});
    submitCallbacks_.erase(id);
    for (const auto &submitCallback : submitCallbacks) {
        submitCallback(SubmitOutcome::Refused);
    }
    return true;
}

void JobManager::abandonSubmissions()
{
    for (const auto &[id, submitCallbacks] : std::exchange(submitCallbacks_, {})) {
        for (const auto &submitCallback : submitCallbacks) {
            submitCallback(SubmitOutcome::OwnerChanged);
        }
    }
}

void JobManager::cancel(const std::string &id, CancelCallback callback)
{
    if (const auto ended = ended_.find(id); ended != ended_.end() && ended->second.isStored) {
        callback(true);
        return;
    }
    auto *job = find(id);
    if (job == nullptr && !ended_.contains(id)) {
        callback(false);
        return;
    }
    if (job != nullptr) {
        endJob(*job, JobStage::Cancelled);
    }
    const auto &ended = ended_.at(id);
    commitQueue_.put(
        JobTables::progress, id, [ended] { return endRecord(ended); }, [callback = std::move(callback)] { callback(true); });
}

std::optional<JobStage> JobManager::shownStage(const std::string &id) const
{
    if (const auto ended = ended_.find(id); ended != ended_.end()) {
        return ended->second.isStored ? ended->second.stage : JobStage::Running;
    }
    const auto found = jobs_.find(id);
    if (found == jobs_.end() || found->second->stage == JobStage::Recording) {
        return std::nullopt;
    }
    return found->second->shownStage;
}

std::string JobManager::accountOf(const std::string &id) const
{
    if (const auto ended = ended_.find(id); ended != ended_.end()) {
        return ended->second.account;
    }
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? std::string() : found->second->spec.account;
}

int JobManager::pendingCount(const std::string &queue) const
{
    return static_cast<int>(std::count_if(jobs_.begin(), jobs_.end(), [&queue](const auto &entry) {
        const auto &job = *entry.second;
        return job.spec.queue == queue && !job.hasBegun && job.stage != JobStage::Recording;
    }));
}

std::map<std::string, std::unique_ptr<JobState>> &JobManager::jobs()
{
    return jobs_;
}

std::vector<std::string> JobManager::takeChangedJobs()
{
    return std::exchange(changedJobs_, {});
}

void JobManager::setDesiredState(const DesiredState &desiredState)
{
    for (const auto &[id, job] : jobs_) {
        // The jobs of a removed queue keep its last definition.
        if (const auto *queue = desiredState.queue(job->spec.queue); queue != nullptr && *queue != job->queue) {
            job->queue = *queue;
            followImageTimes(*job);
            changedJobs_.push_back(id);
        }
    }
}

std::int64_t JobManager::nextAttempt(const Task &task) const
{
    // Each owner numbers attempts in a range of its own, so that no attempt of an earlier owner has the same number.
    constexpr std::int64_t attemptsPerOwner = 1000;
    return std::max(task.lastAttempt, (fencingToken_ - 1) * attemptsPerOwner) + 1;
}

void JobManager::recordStart(StepState &step, int index, const RunPlace &place)
{
    auto &task = step.tasks[static_cast<std::size_t>(index)];
    task.lastAttempt = std::max(task.lastAttempt, place.attempt);
    task.runs.push_back(place);
}

void JobManager::stopRun(StepState &step, int index, const RunPlace &place, const std::string &reason)
{
    if (step.spec().isGang) {
        stopStepRuns(step, reason);
        return;
    }
    fleet_->stop(place.worker, { { step.job->spec.id, step.occurrence, step.index, index }, place.attempt }, reason);
}

void JobManager::tick(Milliseconds endedJobRetention, Milliseconds earlyStart)
{
    const auto now = timers_.now();
    const auto wallTime = timers_.wallNow();
    for (const auto &[id, job] : jobs_) {
        while (job->spec.isScheduled && job->stage != JobStage::Recording && job->nextOccurrence < job->spec.occurrences) {
            if (job->hasOccurrence(job->nextOccurrence)) {
                ++job->nextOccurrence;
                continue;
            }
            if (!job->hasRoomForOccurrence() || job->dueAt(job->nextOccurrence, now, wallTime) > now + earlyStart / 2) {
                break;
            }
            job->addNextOccurrence(now);
            changedJobs_.push_back(id);
            hooks_.workChanged();
        }
    }
    clearSoundTasks();
    dropKeptDescriptions();
    // The retention is measured on the wall clock, which may jump, so that ended jobs are kept half as long again.
    std::erase_if(ended_, [&](const auto &entry) {
        // A description without the end would be taken for a job that has not ended.
        if (!entry.second.isStored || keptDescriptions_.contains(entry.first)
            || wallTime - entry.second.endedAt < endedJobRetention + endedJobRetention / 2) {
            return false;
        }
        commitQueue_.put(
            JobTables::progress, entry.first, [] { return std::nullopt; }, {}, CommitQueue::Urgency::Routine);
        return true;
    });
}

} // namespace auburndoor
