#include "jobs/JobDriver.h"

#include "core/Failure.h"
#include "jobs/JobDecisions.h"
#include "observability/Log.h"
#include "observability/Metrics.h"

#include <algorithm>
#include <map>

namespace auburndoor {

namespace {

/** Tasks placed in one round of a batch or service job; bounds how long one job keeps the others waiting. */
constexpr std::size_t placementLimit = 64;
/** A worker refuses a start that reaches it later than this. */
constexpr Milliseconds startWindow { 10'000 };
constexpr Milliseconds holdTime { 5000 };
/** The starts of a gang follow one another; each may take this much of the holds' time. */
constexpr Milliseconds holdTimePerTask { 50 };
/** Places that one worker may have at most, as workers have 8 slots. */
constexpr int slotsOfWorker = 8;
constexpr Milliseconds saveTimeout { 2000 };
/** Outcomes that start nothing new are recorded together after this time; the workers keep them for 10 minutes. */
constexpr Milliseconds outcomeDelay { 1000 };
/** Until the first question after a task that has just been started. */
constexpr Milliseconds firstQuery { 250 };
/** A task in the answer to a question about all tasks takes about a tenth of the bytes of a question of its own. */
constexpr std::size_t tasksPerQuestion = 10;
/** A round without anything else to wait for. */
constexpr Milliseconds longestWait { 10'000 };

} // namespace

JobDriver::JobDriver(Job job, const JobServices &services) : job_(std::move(job)), services_(services)
{
    matchLive();
    due_ = services_.clock.now();
}

JobDriver::Result JobDriver::drive(long long shardRowVersion)
{
    if (pending_) {
        return save(*std::exchange(pending_, std::nullopt));
    }
    followTasks();
    auto next = enterReports();
    settle(next, services_.clock.wallNow());
    auto placements = placeTasks(next);
    if (next.isRecordedAs(job_)) {
        unsavedSince_.reset();
        schedule();
        return Result::Continue;
    }
    const auto now = services_.clock.now();
    unsavedSince_ = unsavedSince_.value_or(now);
    if (placements.empty() && next.phase == job_.phase && now < *unsavedSince_ + outcomeDelay) {
        schedule();
        return Result::Continue;
    }
    auto transaction = services_.store.makeSave(next, shardRowVersion);
    return save({ std::move(transaction), std::move(next), std::move(placements) });
}

void JobDriver::adopt(Job job)
{
    if (pending_) {
        // The write has to be settled first; if the record has changed, it ends in a conflict and is loaded again.
        return;
    }
    job_ = std::move(job);
    matchLive();
    due_ = services_.clock.now();
}

void JobDriver::abandon()
{
    if (pending_) {
        release(pending_->placements);
        pending_.reset();
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
    for (std::size_t index = 0; index < live_.size(); ++index) {
        if (job_.tasks[index].phase != TaskPhase::Assigned) {
            continue;
        }
        const auto &task = live_[index];
        const auto age = std::chrono::duration_cast<std::chrono::seconds>(services_.clock.now() - task.since);
        auto &line = explanation.tasks[index];
        line += task.silentSince ? ", its worker does not answer" : task.isRunning ? ", running" : ", state not known";
        line += " after " + std::to_string(age.count()) + " s";
        line += task.isRecalled ? ", ordered to stop" : "";
    }
    return explanation;
}

void JobDriver::followTasks()
{
    const auto view = enterReports();
    const auto cancels = tasksToCancel(view);
    followRunning(cancels);
    for (std::size_t index = 0; index < job_.tasks.size(); ++index) {
        const auto &task = job_.tasks[index];
        auto &followed = live_[index];
        if (task.phase != TaskPhase::Assigned || followed.report) {
            continue;
        }
        const bool isToStop = std::binary_search(cancels.begin(), cancels.end(), index);
        if (isToStop && !followed.isRecalled) {
            followed.isRecalled = true;
            followed.nextQuery = services_.clock.now();
        }
        if (services_.clock.now() < followed.nextQuery) {
            continue;
        }
        if (isToStop) {
            services_.follower.cancel(followed, task.owner, task.worker);
        } else {
            services_.follower.query(followed, task.owner, task.worker);
        }
        if (followed.report) {
            holdBack(index, followed.ranFor);
        }
    }
}

/**
    Asks each owner once for all running tasks of the job if many of them are due soon; the rest is asked after one by one.

    One question for each task would be most of an instance's control traffic with 750 running tasks, and one round for each
   question most of its processor time, since a round goes over all tasks.
*/
void JobDriver::followRunning(const std::vector<std::size_t> &cancels)
{
    struct Share
    {
        std::vector<std::size_t> tasks;
        std::size_t soon = 0;
        bool isDue = false;
    };
    const auto now = services_.clock.now();
    std::map<InstanceId, Share> shares;
    for (std::size_t index = 0; index < job_.tasks.size(); ++index) {
        const auto &task = job_.tasks[index];
        const auto &followed = live_[index];
        const bool isFollowed = task.phase == TaskPhase::Assigned && !followed.report && !followed.isRecalled
                                && !std::binary_search(cancels.begin(), cancels.end(), index);
        if (isFollowed) {
            auto &share = shares[services_.gateway.ownerOf(task.worker, task.owner)];
            const auto period = queryPeriod(std::chrono::duration_cast<Milliseconds>(now - followed.since));
            share.tasks.push_back(index);
            share.soon += followed.nextQuery <= now + period / 2 ? 1 : 0;
            share.isDue = share.isDue || followed.nextQuery <= now;
        }
    }
    for (const auto &[owner, share] : shares) {
        if (!owner.isEmpty() && share.isDue && share.soon > 1 && share.soon * tasksPerQuestion >= share.tasks.size()) {
            enterRunning(owner, share.tasks);
        }
    }
}

void JobDriver::enterRunning(const InstanceId &owner, const std::vector<std::size_t> &tasks)
{
    auto running = services_.gateway.runningTasks(owner, job_.declaration.id);
    std::sort(running.begin(), running.end());
    for (const auto index : tasks) {
        if (std::binary_search(running.begin(), running.end(), live_[index].id)) {
            services_.follower.enterRunning(live_[index]);
        }
    }
}

Job JobDriver::enterReports() const
{
    auto next = job_;
    for (const bool isForStops : { false, true }) {
        for (std::size_t index = 0; index < live_.size(); ++index) {
            const auto &task = live_[index];
            if (task.report && (task.report->state == TaskState::Stopped) == isForStops) {
                applyReport(next, index, *task.report, task.isRecalled, task.ranFor);
            }
        }
    }
    return next;
}

std::vector<JobDriver::Placement> JobDriver::placeTasks(Job &next)
{
    const auto tasks = tasksToPlace(next, notBefore_, services_.clock.now(), placementLimit);
    if (tasks.empty() || services_.clock.now() < nextSearch_) {
        return {};
    }
    auto places = findPlaces(tasks);
    std::vector<WorkerId> workers;
    for (const auto &place : places) {
        workers.push_back(place.hold.worker);
    }
    const auto matches = matchPlaces(next, tasks, workers);
    std::vector<Placement> placements;
    std::vector<bool> isUsed(places.size(), false);
    for (std::size_t position = 0; position < tasks.size(); ++position) {
        const auto match = matches[position];
        if (match < places.size()) {
            isUsed[match] = true;
            assign(next, tasks[position], workers[match], places[match].owner);
            placements.push_back({ tasks[position], places[match] });
        }
    }
    std::vector<HeldPlace> rest;
    for (std::size_t place = 0; place < places.size(); ++place) {
        if (!isUsed[place]) {
            rest.push_back(places[place]);
        }
    }
    services_.places.giveBack(rest);
    if (placements.size() < tasks.size()) {
        waitReason_ = "no room for " + std::to_string(tasks.size() - placements.size()) + " tasks of "
                      + next.declaration.need.text() + " on workers of " + next.declaration.service.text();
        nextSearch_ = services_.clock.now() + GangCoordinator::pause(next.declaration.priority, searches_++);
    } else {
        waitReason_.clear();
        searches_ = 0;
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
    // With more places than one worker has, a task can avoid the worker of its last assignment; the rest is given back at once.
    const bool isAgain = std::any_of(
        tasks.begin(), tasks.end(), [this](std::size_t index) { return job_.tasks[index].assignments > 0; });
    request.count += isAgain ? slotsOfWorker : 0;
    return services_.places.find(request);
}

JobDriver::Result JobDriver::save(PendingSave pending)
{
    auto &clock = services_.clock;
    Failure failure;
    long long version = 0;
    const auto status = services_.store.save(pending.transaction, clock.now() + saveTimeout, version, failure);
    services_.metrics.count("job_writes_total", status == SaveStatus::Saved ? "saved" : name(failure.reason));
    due_ = clock.now() + GangCoordinator::pause(job_.declaration.priority, saveAttempts_);
    switch (status) {
    case SaveStatus::Saved:
        saveAttempts_ = 0;
        unsavedSince_.reset();
        job_ = std::move(pending.next);
        job_.version = version;
        matchLive();
        startTasks(pending.placements);
        if (job_.hasEnded()) {
            return Result::Ended;
        }
        schedule();
        return Result::Continue;
    case SaveStatus::Unknown:
        ++saveAttempts_;
        waitReason_ = "the table has not answered the write of its record";
        pending_ = std::move(pending);
        return Result::Continue;
    case SaveStatus::NotSaved:
        ++saveAttempts_;
        waitReason_ = "the table does not accept its record: " + failure.message;
        release(pending.placements);
        return Result::Continue;
    case SaveStatus::JobChanged:
    case SaveStatus::ShardChanged:
        release(pending.placements);
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
    auto &followed = live_[placement.index];
    const TaskStart start { followed.id,      0,
                            declaration.team, declaration.service,
                            declaration.need, services_.clock.wallNow() + startWindow,
                            taskLease,        declaration.body };
    Failure failure;
    const auto result = services_.gateway.startHeld(placement.place, start, failure);
    const auto now = services_.clock.now();
    followed.since = now;
    followed.nextQuery = now + firstQuery;
    followed.isRunning = result.status == CallStatus::Answered;
    if (followed.isRunning) {
        services_.metrics.count("job_tasks_started_total");
        return;
    }
    services_.metrics.countRefusal(failure);
    if (result.status == CallStatus::NotRun && failure.reason != FailureReason::DuplicateKey) {
        // Definite for this task id, which is never used for another start.
        followed.report = TaskStatus { followed.id, TaskState::NeverStarted, {}, {}, failure.message, {} };
        holdBack(placement.index, Milliseconds(0));
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

void JobDriver::matchLive()
{
    const auto now = services_.clock.now();
    live_.resize(job_.tasks.size());
    notBefore_.resize(job_.tasks.size());
    shortRuns_.resize(job_.tasks.size());
    for (std::size_t index = 0; index < live_.size(); ++index) {
        const auto id = job_.taskId(index);
        if (live_[index].id != id || job_.tasks[index].phase != TaskPhase::Assigned) {
            live_[index] = FollowedTask {};
            live_[index].id = id;
            live_[index].since = now;
            live_[index].nextQuery = now;
        }
    }
}

void JobDriver::holdBack(std::size_t index, Milliseconds ranFor)
{
    auto &count = shortRuns_[index];
    count = ranFor >= stableRun ? 0 : count + 1;
    const auto now = services_.clock.now();
    // The first early end leads to a new start at once; a row of them to longer and longer pauses.
    notBefore_[index] = count < 2 ? now : now + GangCoordinator::pause(job_.declaration.priority, count - 2);
}

void JobDriver::schedule()
{
    const auto now = services_.clock.now();
    const auto view = enterReports();
    due_ = unsavedSince_ ? *unsavedSince_ + outcomeDelay : now + longestWait;
    for (const auto index : tasksToCancel(view)) {
        if (!live_[index].isRecalled) {
            due_ = now;
        }
    }
    for (std::size_t index = 0; index < live_.size(); ++index) {
        if (view.tasks[index].phase == TaskPhase::Assigned) {
            due_ = std::min(due_, live_[index].nextQuery);
        }
    }
    TimePoint nextPlacement = TimePoint::max();
    const bool isGang = view.declaration.kind == JobKind::Gang;
    for (const auto index : tasksToPlace(view, notBefore_, TimePoint::max(), view.tasks.size())) {
        const auto isFirst = nextPlacement == TimePoint::max();
        nextPlacement = isGang && !isFirst ? std::max(nextPlacement, notBefore_[index])
                                           : std::min(nextPlacement, notBefore_[index]);
    }
    due_ = std::min(due_, std::max(nextPlacement, nextSearch_));
}

} // namespace auburndoor
