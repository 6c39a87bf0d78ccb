#include "jobs/JobDriver.h"

#include "core/Failure.h"
#include "jobs/JobDecisions.h"
#include "observability/Log.h"
#include "observability/Metrics.h"

#include <algorithm>
#include <map>

namespace auburndoor {

namespace {

/** Tasks of a batch or service job that are placed in one round; limits how long one job delays the others. */
constexpr std::size_t maximumPlacementsPerRound = 64;
/** A worker refuses a start that reaches it later than this after it was sent. */
constexpr Milliseconds startWindow { 10'000 };
constexpr Milliseconds holdTime { 5000 };
/** Added to the hold time for each task of a gang, since its tasks are started one after another. */
constexpr Milliseconds holdTimePerTask { 50 };
/** The maximum number of places on one worker; workers have 8 slots. */
constexpr int slotsPerWorker = 8;
constexpr Milliseconds saveTimeout { 2000 };
/** Changes that start no task are saved together after this time; workers keep the outcomes of tasks for 10 minutes. */
constexpr Milliseconds outcomeSaveDelay { 1000 };
/** The time from the start of a task to the first query of its state. */
constexpr Milliseconds firstQueryDelay { 250 };
/** Listing this many tasks in one answer about all running tasks takes about as many bytes as one query of a single task. */
constexpr std::size_t listedTasksPerQuery = 10;
/** The time until the next round if nothing is due earlier. */
constexpr Milliseconds longestIdleTime { 10'000 };

} // namespace

JobDriver::JobDriver(Job job, const JobServices &services) : job_(std::move(job)), services_(services)
{
    syncTrackedTasks();
    due_ = services_.clock.now();
}

JobDriver::Result JobDriver::drive(long long shardRowVersion)
{
    if (pendingSave_) {
        return save(*std::exchange(pendingSave_, std::nullopt));
    }
    updateTaskStates();
    auto updatedJob = applyReports();
    endJobIfFinished(updatedJob, services_.clock.wallNow());
    auto placements = placeTasks(updatedJob);
    if (updatedJob.isRecordedAs(job_)) {
        unsavedSince_.reset();
        scheduleNextRound();
        return Result::Continue;
    }
    const auto now = services_.clock.now();
    unsavedSince_ = unsavedSince_.value_or(now);
    if (placements.empty() && updatedJob.phase == job_.phase && now < *unsavedSince_ + outcomeSaveDelay) {
        scheduleNextRound();
        return Result::Continue;
    }
    auto transaction = services_.store.makeSave(updatedJob, shardRowVersion);
    return save({ std::move(transaction), std::move(updatedJob), std::move(placements) });
}

void JobDriver::applyRecord(Job job)
{
    if (pendingSave_) {
        // The outcome of the save must be known first. If the record has changed, the save conflicts and the job is loaded again.
        return;
    }
    job_ = std::move(job);
    syncTrackedTasks();
    due_ = services_.clock.now();
}

void JobDriver::releasePlaces()
{
    if (pendingSave_) {
        release(pendingSave_->placements);
        pendingSave_.reset();
    }
}

TimePoint JobDriver::due() const
{
    return due_;
}

const Job &JobDriver::job() const
{
    return job_;
}

JobExplanation JobDriver::explain() const
{
    auto explanation = explainRecord(job_);
    if (!waitReason_.empty()) {
        explanation.summary += "; waits: " + waitReason_;
    }
    for (std::size_t index = 0; index < trackedTasks_.size(); ++index) {
        if (job_.tasks[index].phase != TaskPhase::Assigned) {
            continue;
        }
        const auto &task = trackedTasks_[index];
        const auto age = std::chrono::duration_cast<std::chrono::seconds>(services_.clock.now() - task.since);
        auto &line = explanation.tasks[index];
        line += task.unresponsiveSince ? ", its worker does not answer" : task.isRunning ? ", running" : ", state not known";
        line += " after " + std::to_string(age.count()) + " s";
        line += task.isStopOrdered ? ", ordered to stop" : "";
    }
    return explanation;
}

void JobDriver::updateTaskStates()
{
    const auto reportedJob = applyReports();
    const auto tasksToStop = selectTasksToCancel(reportedJob);
    queryRunningTasks(tasksToStop);
    for (std::size_t index = 0; index < job_.tasks.size(); ++index) {
        const auto &task = job_.tasks[index];
        auto &tracked = trackedTasks_[index];
        if (task.phase != TaskPhase::Assigned || tracked.report) {
            continue;
        }
        const bool mustStop = std::binary_search(tasksToStop.begin(), tasksToStop.end(), index);
        if (mustStop && !tracked.isStopOrdered) {
            tracked.isStopOrdered = true;
            tracked.nextQuery = services_.clock.now();
        }
        if (services_.clock.now() < tracked.nextQuery) {
            continue;
        }
        if (mustStop) {
            services_.tracker.cancel(tracked, task.owner, task.worker);
        } else {
            services_.tracker.query(tracked, task.owner, task.worker);
        }
        if (tracked.report) {
            delayPlacement(index, tracked.runTime);
        }
    }
}

/**
    Queries an owner once for all running tasks of the job if enough of them are due soon; updateTaskStates() queries the others
    one by one.

    With 750 running tasks, one query per task would be most of an instance's control traffic. One round per query would take most
    of its processor time, since a round iterates over all tasks.
*/
void JobDriver::queryRunningTasks(const std::vector<std::size_t> &tasksToStop)
{
    struct OwnerTasks
    {
        std::vector<std::size_t> tasks;
        std::size_t dueSoonCount = 0;
        bool hasDueTask = false;
    };
    const auto now = services_.clock.now();
    std::map<InstanceId, OwnerTasks> tasksByOwner;
    for (std::size_t index = 0; index < job_.tasks.size(); ++index) {
        const auto &task = job_.tasks[index];
        const auto &tracked = trackedTasks_[index];
        const bool mustBeQueried = task.phase == TaskPhase::Assigned && !tracked.report && !tracked.isStopOrdered
                                   && !std::binary_search(tasksToStop.begin(), tasksToStop.end(), index);
        if (mustBeQueried) {
            auto &ownerTasks = tasksByOwner[services_.gateway.ownerOf(task.worker, task.owner)];
            const auto period = calculateQueryPeriod(std::chrono::duration_cast<Milliseconds>(now - tracked.since));
            ownerTasks.tasks.push_back(index);
            ownerTasks.dueSoonCount += tracked.nextQuery <= now + period / 2 ? 1 : 0;
            ownerTasks.hasDueTask = ownerTasks.hasDueTask || tracked.nextQuery <= now;
        }
    }
    for (const auto &[owner, ownerTasks] : tasksByOwner) {
        if (!owner.isEmpty() && ownerTasks.hasDueTask && ownerTasks.dueSoonCount > 1
            && ownerTasks.dueSoonCount * listedTasksPerQuery >= ownerTasks.tasks.size()) {
            queryOwner(owner, ownerTasks.tasks);
        }
    }
}

void JobDriver::queryOwner(const InstanceId &owner, const std::vector<std::size_t> &tasks)
{
    auto running = services_.gateway.runningTasks(owner, job_.declaration.id);
    std::sort(running.begin(), running.end());
    for (const auto index : tasks) {
        if (std::binary_search(running.begin(), running.end(), trackedTasks_[index].id)) {
            services_.tracker.markRunning(trackedTasks_[index]);
        }
    }
}

Job JobDriver::applyReports() const
{
    auto updatedJob = job_;
    for (const bool isForStops : { false, true }) {
        for (std::size_t index = 0; index < trackedTasks_.size(); ++index) {
            const auto &task = trackedTasks_[index];
            if (task.report && (task.report->state == TaskState::Stopped) == isForStops) {
                applyReport(updatedJob, index, *task.report, task.isStopOrdered, task.runTime);
            }
        }
    }
    return updatedJob;
}

std::vector<JobDriver::Placement> JobDriver::placeTasks(Job &updatedJob)
{
    const auto tasks = selectTasksToPlace(updatedJob, earliestPlacements_, services_.clock.now(), maximumPlacementsPerRound);
    if (tasks.empty() || services_.clock.now() < nextSearch_) {
        return {};
    }
    auto places = findPlaces(tasks);
    std::vector<WorkerId> workers;
    for (const auto &place : places) {
        workers.push_back(place.hold.worker);
    }
    const auto matches = matchPlaces(updatedJob, tasks, workers);
    std::vector<Placement> placements;
    std::vector<bool> isUsed(places.size(), false);
    for (std::size_t position = 0; position < tasks.size(); ++position) {
        const auto match = matches[position];
        if (match < places.size()) {
            isUsed[match] = true;
            assignTask(updatedJob, tasks[position], workers[match], places[match].owner);
            placements.push_back({ tasks[position], places[match] });
        }
    }
    std::vector<HeldPlace> unusedPlaces;
    for (std::size_t place = 0; place < places.size(); ++place) {
        if (!isUsed[place]) {
            unusedPlaces.push_back(places[place]);
        }
    }
    services_.places.releaseUnused(unusedPlaces);
    if (placements.size() < tasks.size()) {
        waitReason_ = "no room for " + std::to_string(tasks.size() - placements.size()) + " tasks of "
                      + updatedJob.declaration.need.text() + " on workers of " + updatedJob.declaration.service.text();
        nextSearch_ = services_.clock.now() + GangCoordinator::chooseRetryDelay(updatedJob.declaration.priority, failedSearches_++);
    } else {
        waitReason_.clear();
        failedSearches_ = 0;
    }
    return placements;
}

std::vector<HeldPlace> JobDriver::findPlaces(const std::vector<std::size_t> &tasks)
{
    const auto &declaration = job_.declaration;
    HoldRequest request { declaration.id, declaration.team, declaration.service, declaration.need, 0, holdTime };
    request.count = static_cast<int>(tasks.size());
    if (declaration.kind == JobKind::Gang) {
        request.timeLimit += holdTimePerTask * request.count;
        Failure failure;
        return services_.gangs.acquire(request, failure).value_or(std::vector<HeldPlace>());
    }
    // Holds more places than one worker has, so that a task can avoid the worker of its last assignment; the caller releases the
    // unused ones at once.
    const bool hasReassignment = std::any_of(
        tasks.begin(), tasks.end(), [this](std::size_t index) { return job_.tasks[index].assignments > 0; });
    request.count += hasReassignment ? slotsPerWorker : 0;
    return services_.places.find(request);
}

JobDriver::Result JobDriver::save(PendingSave pendingSave)
{
    auto &clock = services_.clock;
    Failure failure;
    long long version = 0;
    const auto status = services_.store.save(pendingSave.transaction, clock.now() + saveTimeout, version, failure);
    services_.metrics.count("job_writes_total", status == SaveStatus::Saved ? "saved" : name(failure.reason));
    due_ = clock.now() + GangCoordinator::chooseRetryDelay(job_.declaration.priority, failedSaves_);
    switch (status) {
    case SaveStatus::Saved:
        failedSaves_ = 0;
        unsavedSince_.reset();
        job_ = std::move(pendingSave.updatedJob);
        job_.version = version;
        syncTrackedTasks();
        startTasks(pendingSave.placements);
        if (job_.hasEnded()) {
            return Result::Ended;
        }
        scheduleNextRound();
        return Result::Continue;
    case SaveStatus::Unknown:
        ++failedSaves_;
        waitReason_ = "the outcome of the last write of the job record is unknown";
        pendingSave_ = std::move(pendingSave);
        return Result::Continue;
    case SaveStatus::NotSaved:
        ++failedSaves_;
        waitReason_ = "the job record could not be written: " + failure.message;
        release(pendingSave.placements);
        return Result::Continue;
    case SaveStatus::JobChanged:
    case SaveStatus::ShardChanged:
        release(pendingSave.placements);
        break;
    }
    return status == SaveStatus::JobChanged ? Result::Reload : Result::ShardLost;
}

void JobDriver::startTasks(const std::vector<Placement> &placements)
{
    for (const auto &placement : placements) {
        startTask(placement);
    }
}

void JobDriver::startTask(const Placement &placement)
{
    const auto &declaration = job_.declaration;
    auto &tracked = trackedTasks_[placement.index];
    const TaskStart start { tracked.id,       0,
                            declaration.team, declaration.service,
                            declaration.need, services_.clock.wallNow() + startWindow,
                            taskLease,        declaration.body };
    Failure failure;
    const auto result = services_.gateway.startHeld(placement.place, start, failure);
    const auto now = services_.clock.now();
    tracked.since = now;
    tracked.nextQuery = now + firstQueryDelay;
    tracked.isRunning = result.status == CallStatus::Answered;
    if (tracked.isRunning) {
        services_.metrics.count("job_tasks_started_total");
        return;
    }
    services_.metrics.countRefusal(failure);
    if (result.status == CallStatus::NotRun && failure.reason != FailureReason::DuplicateKey) {
        // The task id is never used for another start, so this assignment cannot run any more.
        tracked.report = TaskStatus { tracked.id, TaskState::NeverStarted, {}, {}, failure.message, {} };
        delayPlacement(placement.index, Milliseconds(0));
        services_.gateway.release({ placement.place });
    }
}

void JobDriver::release(const std::vector<Placement> &placements)
{
    std::vector<HeldPlace> places;
    for (const auto &placement : placements) {
        places.push_back(placement.place);
    }
    services_.gateway.release(places);
}

void JobDriver::syncTrackedTasks()
{
    const auto now = services_.clock.now();
    trackedTasks_.resize(job_.tasks.size());
    earliestPlacements_.resize(job_.tasks.size());
    consecutiveShortRuns_.resize(job_.tasks.size());
    for (std::size_t index = 0; index < trackedTasks_.size(); ++index) {
        const auto id = job_.taskId(index);
        if (trackedTasks_[index].id != id || job_.tasks[index].phase != TaskPhase::Assigned) {
            trackedTasks_[index] = TrackedTask {};
            trackedTasks_[index].id = id;
            trackedTasks_[index].since = now;
            trackedTasks_[index].nextQuery = now;
        }
    }
}

void JobDriver::delayPlacement(std::size_t index, Milliseconds runTime)
{
    auto &count = consecutiveShortRuns_[index];
    count = runTime >= stableRunTime ? 0 : count + 1;
    const auto now = services_.clock.now();
    // The first short run does not delay the next start; further ones delay it longer and longer.
    earliestPlacements_[index] = count < 2 ? now : now + GangCoordinator::chooseRetryDelay(job_.declaration.priority, count - 2);
}

void JobDriver::scheduleNextRound()
{
    const auto now = services_.clock.now();
    const auto reportedJob = applyReports();
    due_ = unsavedSince_ ? *unsavedSince_ + outcomeSaveDelay : now + longestIdleTime;
    for (const auto index : selectTasksToCancel(reportedJob)) {
        if (!trackedTasks_[index].isStopOrdered) {
            due_ = now;
        }
    }
    for (std::size_t index = 0; index < trackedTasks_.size(); ++index) {
        if (reportedJob.tasks[index].phase == TaskPhase::Assigned) {
            due_ = std::min(due_, trackedTasks_[index].nextQuery);
        }
    }
    TimePoint nextPlacement = TimePoint::max();
    const bool isGang = reportedJob.declaration.kind == JobKind::Gang;
    for (const auto index : selectTasksToPlace(reportedJob, earliestPlacements_, TimePoint::max(), reportedJob.tasks.size())) {
        const auto isFirst = nextPlacement == TimePoint::max();
        nextPlacement = isGang && !isFirst ? std::max(nextPlacement, earliestPlacements_[index])
                                           : std::min(nextPlacement, earliestPlacements_[index]);
    }
    due_ = std::min(due_, std::max(nextPlacement, nextSearch_));
}

} // namespace auburndoor
