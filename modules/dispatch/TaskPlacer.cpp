#include "dispatch/TaskPlacer.h"

#include "observability/EventLog.h"

#include <algorithm>

namespace auburndoor {

namespace {

// Time until all workers are searched again for a step that has found no room, besides those that get more free.
constexpr Milliseconds searchInterval { 300 };
// The longer a step has waited, the less often it is searched for: a search in vain takes time from the steps behind it.
constexpr int searchDelayDivisor = 8;
constexpr Milliseconds maxSearchDelay { 1000 };

} // namespace

bool isPastFinalDeadline(const StepState &step, TimePoint now)
{
    return !step.spec().isService && now > step.job->finalDeadlineOf(step.occurrence);
}

bool canBeInTime(const StepState &step, TimePoint now)
{
    const auto &job = *step.job;
    // Tasks of a service run until they are cancelled, and an occurrence keeps its place until its final deadline.
    if (step.spec().isService || job.spec.isScheduled) {
        return true;
    }
    const auto occurrence = job.occurrences.find(step.occurrence);
    return occurrence == job.occurrences.end() || now + job.remainingPathTime(occurrence->second) <= job.objective;
}

TaskPlacer::TaskPlacer(Timers &timers, JobManager &jobManager, Fleet &fleet, Advisor &advisor)
    : timers_(timers)
    , jobManager_(jobManager)
    , fleet_(fleet)
    , advisor_(advisor)
    , quotas_(fleet.accountUsage())
    , isAlive_(std::make_shared<bool>(true))
{
}

TaskPlacer::~TaskPlacer()
{
    close();
}

void TaskPlacer::close()
{
    *isAlive_ = false;
}

StepRank TaskPlacer::computeRank(const StepState &step, TimePoint now)
{
    const auto &job = *step.job;
    return { step.isRepair(),
             isPastFinalDeadline(step, now),
             job.queue.priority,
             !canBeInTime(step, now),
             job.objectiveOf(step.occurrence),
             job.spec.id,
             step.occurrence,
             step.index };
}

const StepAdvice::WorkerPermit *TaskPlacer::findPermit(const StepState &step, const WorkerCapacity &workerCapacity) const
{
    const auto found = step.advice.allowed.find(workerCapacity.id);
    const bool isValid = found != step.advice.allowed.end() && found->second.expiresAt > now_
                         && found->second.workerIncarnation == workerCapacity.worker->entry.incarnation;
    return isValid ? &found->second : nullptr;
}

Milliseconds TaskPlacer::computeSearchDelay(const StepState &step, Milliseconds shortest) const
{
    const auto waited = std::chrono::duration_cast<Milliseconds>(now_ - step.waitingSince());
    return std::max(shortest, std::min(waited / searchDelayDivisor, maxSearchDelay));
}

bool TaskPlacer::hasRoomToSearch(StepState &step)
{
    auto &search = step.search;
    if (!search.isExhausted) {
        return true;
    }
    if (now_ < search.gangSearchAt) {
        return false;
    }
    auto &serviceCapacity = getServiceCapacity(step);
    if (now_ >= search.repeatAt || !serviceCapacity.isGrowthKnownSince(search.seenGrowth)) {
        search.isExhausted = false;
        return true;
    }
    const bool needsPermit = step.job->queue.advice.has_value();
    const auto mayUse = [&](const WorkerCapacity &workerCapacity) {
        return !needsPermit || findPermit(step, workerCapacity) != nullptr;
    };
    if (serviceCapacity.hasGrownRoom(search.seenGrowth, JobManager::makeClaim(step).need, mayUse)) {
        return true;
    }
    search.seenGrowth = serviceCapacity.growth();
    return false;
}

bool TaskPlacer::mayUseSomeWorker(const StepState &step) const
{
    const auto &allowed = step.advice.allowed;
    return !step.job->queue.advice
           || std::any_of(allowed.begin(), allowed.end(), [this](const auto &entry) { return entry.second.expiresAt > now_; });
}

bool TaskPlacer::mayRequestAdvice(const StepState &step) const
{
    return step.advice.pendingRequests == 0 && now_ >= std::max(step.advice.retryAt, step.search.adviceSearchAt);
}

bool TaskPlacer::placeStep(StepState &step)
{
    if (isHeldByLimit(step)) {
        return false;
    }
    const bool isGang = step.spec().isGang;
    if (step.job->stage == JobStage::Recording) {
        return requestAdvice(step, static_cast<int>(step.tasks.size()), isGang);
    }
    if (hasJobsWaitingForReports_ && !mayStart(*step.job)) {
        const bool isRequested = mayRequestAdviceEarly(step) && requestAdvice(step, countIdleTasks(step), isGang);
        // The wait may last for several seconds, in which other work can use the room.
        releasePlannedCapacity(step);
        return isRequested;
    }
    if (!fleet_.maySendStart() && mayUseSomeWorker(step)) {
        // The search waits as well: nothing that it finds could start.
        return false;
    }
    if (!hasRoomToSearch(step)) {
        if (!mayRequestAdvice(step)) {
            return false;
        }
        return step.job->queue.advice && requestAdvice(step, countIdleTasks(step), isGang);
    }
    if (isGang) {
        placeGang(step);
    } else {
        placeTasks(step);
    }
    step.search.seenGrowth = getServiceCapacity(step).growth();
    // A gang keeps its plan until it starts: others of its priority would take the room while one member still waits for a stop.
    if (step.advice.pendingRequests == 0 && (!isGang || step.hasRuns())) {
        releasePlannedCapacity(step);
    }
    return true;
}

void TaskPlacer::logStart(const StepState &step, const Task &task, const StartCommand &command, const Candidate &candidate) const
{
    const auto name = command.task.text();
    const EventField fields[] = { { "task", name },
                                  { "attempt", command.attempt },
                                  { "worker", candidate.workerCapacity->worker->entry.id },
                                  { "token", jobManager_.fencingToken_ },
                                  { "ready_ms", std::chrono::duration_cast<Milliseconds>(now_ - step.readySince).count() },
                                  { "free_cores", candidate.free.milliCores } };
    if (!task.wasStarted()) {
        EventLog::writeRateLimited("run.start", fields);
        return;
    }
    std::vector<EventField> allFields(std::begin(fields), std::end(fields));
    if (!task.runs.empty()) {
        const auto &copied = task.runs.back();
        allFields.emplace_back("after", copied.worker);
        allFields.emplace_back("after_attempt", copied.attempt);
        allFields.emplace_back("after_end", "none, copied");
    } else if (!task.lastRun.end.empty()) {
        allFields.emplace_back("after", task.lastRun.place.worker);
        allFields.emplace_back("after_attempt", task.lastRun.place.attempt);
        allFields.emplace_back("after_end", task.lastRun.end);
    } else {
        // Its worker is not stored: the lines of the owner that started it name it.
        allFields.emplace_back("after_attempt", task.lastAttempt);
        allFields.emplace_back("after_end", "under a former owner");
    }
    EventLog::writeBurst("run.start", allFields);
}

void TaskPlacer::start(StepState &step, int index, Candidate &candidate, std::int64_t attempt)
{
    const auto &job = *step.job;
    auto &task = step.tasks[static_cast<std::size_t>(index)];
    if (countStartable(step, 1) < 1) {
        EventLog::write("start.over_limit",
                        { { "job", job.spec.id }, { "step", step.index }, { "task", index }, { "account", job.spec.account } });
        return;
    }
    const auto &id = candidate.workerCapacity->worker->entry.id;
    StartCommand command;
    command.task = { job.spec.id, step.occurrence, step.index, index };
    command.attempt = attempt;
    command.payload = job.spec.payload;
    command.checkpoint = task.checkpoint;
    if (candidate.permit != nullptr) {
        command.permit = candidate.permit->ticket;
    }
    logStart(step, task, command, candidate);
    const auto claim = jobManager_.makeClaim(step, task, id);
    candidate.free -= claim.need;
    --candidate.tasksLeft;
    jobManager_.recordStart(step, index, { id, attempt });
    fleet_.start(id, command, claim);
    getServiceCapacity(step).recordStart(*candidate.workerCapacity, claim.need, claim.priority);
}

bool TaskPlacer::noteSearch(StepState &step, bool hasPlacedAll)
{
    const bool isNewlyExhausted = !hasPlacedAll && !step.search.isExhausted;
    step.search.isExhausted = !hasPlacedAll;
    if (isNewlyExhausted) {
        step.search.repeatAt = now_ + computeSearchDelay(step, searchInterval);
    }
    return isNewlyExhausted;
}

} // namespace auburndoor
