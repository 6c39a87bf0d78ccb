#include "dispatch/TaskPlacer.h"

#include "observability/EventLog.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace auburndoor {

namespace {

// A job that takes longer than this multiple of its objective no longer counts as late but as lost.
constexpr int finalDeadlineFactor = 3;
// A longer round is interrupted and continued later, so that it delays the owner's pulses and client calls by less than a tenth of
// their timeouts.
constexpr Milliseconds maxRoundDuration { 10 };

} // namespace

TimePoint computeFinalDeadline(const JobState &job)
{
    return job.receivedAt + (job.objective - job.receivedAt) * finalDeadlineFactor;
}

bool canBeInTime(const StepState &step, TimePoint now)
{
    const auto &job = *step.job;
    // Tasks of a service run until they are cancelled, and the objective of a scheduled job is not that of each occurrence.
    if (step.spec().isService || job.spec.isScheduled) {
        return true;
    }
    const auto occurrence = job.occurrences.find(step.occurrence);
    return occurrence == job.occurrences.end() || now + job.remainingPathTime(occurrence->second) <= job.objective;
}

TaskPlacer::TaskPlacer(Timers &timers, JobManager &jobManager, Fleet &fleet, Advisor &advisor, TimePoint inheritedJobsWaitUntil)
    : timers_(timers)
    , jobManager_(jobManager)
    , fleet_(fleet)
    , advisor_(advisor)
    , inheritedJobsWaitUntil_(inheritedJobsWaitUntil)
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

bool TaskPlacer::mayStart(const JobState &job)
{
    if (job.stage != JobStage::Queued && job.stage != JobStage::Running) {
        return false;
    }
    return !job.isInherited || timers_.now() > inheritedJobsWaitUntil_ || !hasUnreadWorkers(job.queue.service);
}

bool TaskPlacer::hasUnreadWorkers(const std::string &service)
{
    const auto [found, isNew] = unreadByService_.try_emplace(service);
    if (isNew) {
        found->second = fleet_.hasUnreadWorkers(service);
    }
    return found->second;
}

TaskPlacer::StepRank TaskPlacer::computeRank(const StepState &step, TimePoint now)
{
    const auto &job = *step.job;
    return { now > computeFinalDeadline(job),
             job.queue.priority,
             !canBeInTime(step, now),
             job.objective,
             job.spec.id,
             step.occurrence,
             step.index };
}

std::vector<std::pair<TaskPlacer::StepRank, StepState *>> TaskPlacer::findReadySteps()
{
    std::vector<std::pair<StepRank, StepState *>> steps;
    const auto now = timers_.now();
    for (const auto &[id, job] : jobManager_.jobs()) {
        // Advice for a job is already requested while its record is being stored.
        const bool mayRequestAdvice = job->stage == JobStage::Recording && job->queue.advice.has_value();
        if (!mayStart(*job) && !mayRequestAdvice) {
            continue;
        }
        for (auto &[number, occurrence] : job->occurrences) {
            for (auto &step : occurrence.steps) {
                const bool hasTasksToStart = step.spec().isGang ? !step.isDone() && !step.hasRuns() : step.hasIdleTask();
                if (hasTasksToStart && occurrence.isReady(step)) {
                    steps.emplace_back(computeRank(step, now), &step);
                }
            }
        }
    }
    std::sort(steps.begin(), steps.end());
    return steps;
}

void TaskPlacer::beginRound()
{
    serviceCapacities_.clear();
    unreadByService_.clear();
    unsendableAdviceTime_ = Milliseconds::max();
    statistics_.workersVisited += static_cast<long long>(fleet_.workers().size());
    for (const auto &[id, worker] : fleet_.workers()) {
        if (fleet_.isUsable(*worker)) {
            serviceCapacities_[worker->entry.service].add(*worker);
        }
    }
    servicesWithHold_.clear();
    // Steps that wait for advice keep their planned capacity, and waiting gangs the room that is held for them.
    for (const auto &[id, job] : jobManager_.jobs()) {
        for (auto &[number, occurrence] : job->occurrences) {
            for (auto &step : occurrence.steps) {
                reservePlannedCapacity(step);
                reserveHeldCapacity(step);
            }
        }
    }
}

ServiceCapacity &TaskPlacer::getServiceCapacity(const StepState &step)
{
    return serviceCapacities_[step.job->queue.service];
}

PlacementStatistics TaskPlacer::takeStatistics()
{
    return std::exchange(statistics_, {});
}

bool TaskPlacer::place()
{
    const auto startedAt = timers_.now();
    const bool isComplete = runRound();
    const auto duration = std::chrono::duration_cast<std::chrono::microseconds>(timers_.now() - startedAt);
    ++statistics_.rounds;
    statistics_.interruptedRounds += isComplete ? 0 : 1;
    statistics_.duration += duration;
    statistics_.longestRound = std::max(statistics_.longestRound, duration);
    return isComplete;
}

bool TaskPlacer::runRound()
{
    const auto startedAt = timers_.now();
    beginRound();
    auto steps = findReadySteps();
    statistics_.backlog = static_cast<long long>(steps.size());
    const auto first = resumeAfter_ ? std::find_if(
                           steps.begin(), steps.end(), [this](const auto &step) { return *resumeAfter_ < step.first; })
                                    : steps.begin();
    resumeAfter_.reset();
    for (auto next = first; next != steps.end(); ++next) {
        ++statistics_.stepsPassed;
        placeStep(*next->second);
        if (timers_.now() - startedAt > maxRoundDuration && next + 1 != steps.end()) {
            resumeAfter_ = next->first;
            return false;
        }
    }
    // A call that continued an interrupted round has skipped the first steps: a full round follows.
    return first == steps.begin();
}

void TaskPlacer::placeStep(StepState &step)
{
    if (step.job->stage == JobStage::Recording) {
        requestAdvice(step, static_cast<int>(step.tasks.size()), step.spec().isGang);
    } else if (step.spec().isGang) {
        placeGang(step);
    } else {
        placeTasks(step);
    }
    // A gang keeps its plan until it starts: others of its priority would take the room while one member still waits for a stop.
    if (step.advice.pendingRequests == 0 && (!step.spec().isGang || step.hasRuns())) {
        releasePlannedCapacity(step);
    }
}

int TaskPlacer::countTasksLeft(const StepState &step, const std::string &worker)
{
    const auto maxTasks = step.spec().maxTasksPerWorker;
    if (maxTasks == 0) {
        return std::numeric_limits<int>::max();
    }
    int runsOnWorker = 0;
    for (const auto &task : step.tasks) {
        runsOnWorker += static_cast<int>(
            std::count_if(task.runs.begin(), task.runs.end(), [&](const auto &place) { return place.worker == worker; }));
    }
    return maxTasks - runsOnWorker;
}

std::optional<TaskPlacer::Candidate> TaskPlacer::makeCandidate(const StepState &step, WorkerCapacity &workerCapacity) const
{
    const auto &spec = step.spec();
    const auto &entry = workerCapacity.worker->entry;
    Candidate candidate { &workerCapacity, workerCapacity.freeFor(&step, step.job->queue.priority), 0, nullptr };
    if (!JobManager::makeClaim(step).need.fitsIn(candidate.free)
        || (!spec.requiredLabel.empty() && !entry.hasLabel(spec.requiredLabel))) {
        return std::nullopt;
    }
    candidate.tasksLeft = countTasksLeft(step, entry.id);
    if (candidate.tasksLeft <= 0) {
        return std::nullopt;
    }
    return candidate;
}

std::vector<TaskPlacer::Candidate> TaskPlacer::findCandidates(StepState &step)
{
    std::vector<Candidate> candidates;
    auto &serviceCapacity = getServiceCapacity(step);
    if (!serviceCapacity.mayHaveFree(JobManager::makeClaim(step).need)) {
        return candidates;
    }
    ++statistics_.stepsSearched;
    const auto addCandidate = [&](WorkerCapacity &workerCapacity, const StepAdvice::WorkerPermit *permit) {
        ++statistics_.workersVisited;
        if (auto candidate = makeCandidate(step, workerCapacity)) {
            candidate->permit = permit;
            candidates.push_back(*candidate);
        }
    };
    if (!step.job->queue.advice) {
        for (auto &workerCapacity : serviceCapacity.workerCapacities()) {
            addCandidate(workerCapacity, nullptr);
        }
        return candidates;
    }
    const auto now = timers_.now();
    for (const auto &[id, permit] : step.advice.allowed) {
        auto *workerCapacity = permit.expiresAt > now ? serviceCapacity.find(id) : nullptr;
        if (workerCapacity != nullptr && permit.workerIncarnation == workerCapacity->worker->entry.incarnation) {
            addCandidate(*workerCapacity, &permit);
        }
    }
    return candidates;
}

double TaskPlacer::computeCost(const StepState &step, const Task &task, const Candidate &candidate) const
{
    const auto &spec = step.spec();
    const auto &entry = candidate.workerCapacity->worker->entry;
    // Best fit: the base cost is the dominant share left free, at most 1; each preference outweighs it.
    constexpr double remoteDataCost = 10.0;
    constexpr double earlierFailureCost = 20.0;
    constexpr double interferenceCost = 5.0;
    double result = dominantShare(candidate.free - JobManager::makeClaim(step).need, entry.capacity);
    if (!spec.dataRack.empty() && entry.rack() != spec.dataRack) {
        result += remoteDataCost;
    }
    if (task.failedOn == entry.id) {
        result += earlierFailureCost;
    }
    const auto kind = JobManager::makeClaim(step).kind;
    if (kind != RunKind::Plain) {
        const auto other = kind == RunKind::BestEffort ? RunKind::LatencySensitive : RunKind::BestEffort;
        const auto &runs = candidate.workerCapacity->worker->runs;
        const bool hasInterferingRun = std::any_of(
            runs.begin(), runs.end(), [other](const auto &run) { return run.second.claim.kind == other; });
        result += hasInterferingRun ? interferenceCost : 0.0;
    }
    return result;
}

TaskPlacer::Candidate *TaskPlacer::chooseCandidate(const StepState &step,
                                                   const Task &task,
                                                   std::vector<Candidate> &candidates,
                                                   const std::string &rack) const
{
    Candidate *best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    const auto need = JobManager::makeClaim(step).need;
    for (auto &candidate : candidates) {
        if (candidate.tasksLeft <= 0 || !need.fitsIn(candidate.free)
            || (!rack.empty() && candidate.workerCapacity->worker->entry.rack() != rack)) {
            continue;
        }
        const auto candidateCost = computeCost(step, task, candidate);
        if (candidateCost < bestCost) {
            bestCost = candidateCost;
            best = &candidate;
        }
    }
    return best;
}

void TaskPlacer::start(StepState &step, int index, Candidate &candidate, std::int64_t attempt)
{
    const auto &job = *step.job;
    auto &task = step.tasks[static_cast<std::size_t>(index)];
    const auto &id = candidate.workerCapacity->worker->entry.id;
    StartCommand command;
    command.task = { job.spec.id, step.occurrence, step.index, index };
    command.attempt = attempt;
    command.payload = job.spec.payload;
    command.checkpoint = task.checkpoint;
    if (candidate.permit != nullptr) {
        command.permit = candidate.permit->ticket;
    }
    EventLog::writeRateLimited("run.start",
                               { { "job", job.spec.id },
                                 { "occurrence", step.occurrence },
                                 { "step", step.index },
                                 { "index", index },
                                 { "attempt", attempt },
                                 { "worker", id },
                                 { "ready_ms", std::chrono::duration_cast<Milliseconds>(timers_.now() - step.readySince).count() },
                                 { "free_cores", candidate.free.milliCores } });
    const auto claim = JobManager::makeClaim(step);
    candidate.free -= claim.need;
    candidate.workerCapacity->expectedFree -= claim.need;
    --candidate.tasksLeft;
    jobManager_.recordStart(step, index, { id, attempt });
    fleet_.start(id, command, claim);
}

void TaskPlacer::placeTasks(StepState &step)
{
    auto candidates = findCandidates(step);
    int unplaced = 0;
    for (std::size_t index = 0; index < step.tasks.size(); ++index) {
        auto &task = step.tasks[index];
        if (!task.isIdle()) {
            continue;
        }
        auto *candidate = candidates.empty() ? nullptr : chooseCandidate(step, task, candidates, {});
        if (candidate != nullptr && !fleet_.maySendStart()) {
            // There is capacity: the rest starts once starts on their way are answered.
            return;
        }
        if (candidate == nullptr) {
            ++unplaced;
            continue;
        }
        start(step, static_cast<int>(index), *candidate, jobManager_.nextAttempt(task));
    }
    if (unplaced > 0) {
        unplaced -= preemptForTasks(step, unplaced, false);
    }
    if (unplaced > 0 && step.job->queue.advice) {
        requestAdvice(step, unplaced, false);
    }
}

} // namespace auburndoor
