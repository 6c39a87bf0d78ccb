#include "dispatch/TaskPlacer.h"
#include "observability/EventLog.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace auburndoor {

namespace {

// Permits are dropped this long before they expire, since the start command takes time to reach the worker.
constexpr Milliseconds permitExpiryMargin { 80 };
// The chain of work from which a job's objective is derived counts one advice request about this many workers.
constexpr std::size_t maxWorkersPerRequest = 30;
// The requests of a gang name this many times the workers that are expected to suffice.
constexpr double gangRequestMargin = 1.3;
constexpr Milliseconds adviceTimeout { 4000 };
constexpr Milliseconds adviceRetryDelay { 150 };
// Time until a step that has found no workers to ask for searches again.
constexpr Milliseconds searchDelay { 20 };

Milliseconds estimateResponseTime(const AdvicePolicy &policy, std::size_t workers)
{
    return std::chrono::duration_cast<Milliseconds>(policy.decisionTime + policy.timePerWorker * static_cast<double>(workers));
}

} // namespace

void TaskPlacer::reservePlannedCapacity(StepState &step)
{
    if (step.advice.plannedTasks.empty()) {
        return;
    }
    if (step.advice.pendingRequests == 0 && step.advice.planExpiresAt <= now_) {
        step.advice.plannedTasks.clear();
    }
    for (const auto &[id, count] : step.advice.plannedTasks) {
        reserveOnWorker(step, id, count);
    }
}

void TaskPlacer::releasePlannedCapacity(StepState &step)
{
    if (step.advice.plannedTasks.empty()) {
        return;
    }
    step.advice.plannedTasks.clear();
    reserveCapacity(step);
}

bool TaskPlacer::isLargeEnough(const StepState &step,
                               const WorkerCapacity &workerCapacity,
                               const std::unordered_map<std::string, int> &runsByWorker)
{
    const auto &entry = workerCapacity.worker->entry;
    const auto &label = step.spec().requiredLabel;
    return JobManager::makeClaim(step).need.fitsIn(entry.capacity) && (label.empty() || entry.hasLabel(label))
           && countTasksLeft(step, entry.id, runsByWorker) > 0;
}

std::vector<WorkerCapacity *> TaskPlacer::findAllowedTargets(StepState &step, bool isAllOrNothing)
{
    std::vector<WorkerCapacity *> targets;
    const auto runsByWorker = countRunsByWorker(step);
    auto &serviceCapacity = getServiceCapacity(step);
    for (const auto &[id, permit] : step.advice.allowed) {
        // Tasks that may start one by one are placed without a request where the permit is valid.
        auto *workerCapacity = permit.expiresAt > now_ && !isAllOrNothing ? nullptr : serviceCapacity.find(id);
        if (workerCapacity != nullptr && isLargeEnough(step, *workerCapacity, runsByWorker)) {
            targets.push_back(workerCapacity);
        }
    }
    return targets;
}

std::vector<WorkerCapacity *> TaskPlacer::findUnknownTargets(StepState &step, bool isAllOrNothing, std::size_t limit)
{
    const auto claim = JobManager::makeClaim(step);
    const auto runsByWorker = countRunsByWorker(step);
    const auto isUnknown = [&](const WorkerCapacity &workerCapacity) {
        return !step.advice.denied.contains(workerCapacity.id) && !step.advice.allowed.contains(workerCapacity.id)
               && isLargeEnough(step, workerCapacity, runsByWorker);
    };
    const auto hasRoom = [&](const WorkerCapacity &workerCapacity) {
        return claim.need.fitsIn(workerCapacity.freeFor(&step, claim.priority));
    };
    auto &serviceCapacity = getServiceCapacity(step);
    auto targets = serviceCapacity.findLeastUtilized(claim.need, limit, [&](const WorkerCapacity &workerCapacity) {
        ++statistics_.workersVisited;
        return hasRoom(workerCapacity) && isUnknown(workerCapacity);
    });
    // A gang needs several workers at the same time, so full workers are asked for too.
    const bool includesFull = !step.advice.wasRequested || isAllOrNothing;
    const auto right = findPreemptionRight(step);
    if (targets.size() >= limit || (!includesFull && !right)) {
        return targets;
    }
    std::vector<WorkerCapacity *> preemptible;
    std::vector<WorkerCapacity *> full;
    for (auto &workerCapacity : serviceCapacity.workerCapacities()) {
        ++statistics_.workersVisited;
        if (!workerCapacity.isUsable || hasRoom(workerCapacity)) {
            continue;
        }
        const bool isPreemptible = right && workerCapacity.fitsAfterPreemption(claim.need, *right);
        if ((isPreemptible || includesFull) && isUnknown(workerCapacity)) {
            (isPreemptible ? preemptible : full).push_back(&workerCapacity);
        }
    }
    for (auto *others : { &preemptible, &full }) {
        sortByUtilization(*others);
        targets.insert(targets.end(), others->begin(), others->end());
    }
    targets.resize(std::min(targets.size(), limit));
    return targets;
}

void TaskPlacer::sortByUtilization(std::vector<WorkerCapacity *> &workerCapacities)
{
    std::vector<std::pair<double, WorkerCapacity *>> ranked;
    ranked.reserve(workerCapacities.size());
    for (auto *workerCapacity : workerCapacities) {
        ranked.emplace_back(dominantShare(workerCapacity->worker->used, workerCapacity->worker->entry.capacity), workerCapacity);
    }
    std::stable_sort(ranked.begin(), ranked.end(), [](const auto &left, const auto &right) { return left.first < right.first; });
    std::transform(ranked.begin(), ranked.end(), workerCapacities.begin(), [](const auto &entry) { return entry.second; });
}

std::vector<WorkerCapacity *> TaskPlacer::chooseAdviceTargets(StepState &step, int taskCount, bool isAllOrNothing)
{
    const bool isFirstRequest = !step.advice.wasRequested;
    if (!isFirstRequest && !findPreemptionRight(step) && !getServiceCapacity(step).mayHaveFree(JobManager::makeClaim(step).need)) {
        return {};
    }
    auto allowed = findAllowedTargets(step, isAllOrNothing);
    if (planTasks(step, allowed, taskCount, isAllOrNothing)) {
        preemptForPlannedTasks(step);
        // The set of allowed workers of a step never changes, so these workers will be permitted again.
        auto &advice = step.advice;
        const auto answeredAt = now_ + estimateResponseTime(*step.job->queue.advice, maxWorkersPerRequest);
        advice.planExpiresAt = answeredAt;
        std::erase_if(allowed, [&advice, answeredAt](const WorkerCapacity *workerCapacity) {
            const auto &id = workerCapacity->id;
            return !advice.plannedTasks.contains(id) || advice.allowed.at(id).expiresAt > answeredAt;
        });
        if (step.isRepair() && !isAllOrNothing) {
            addUnknownTargets(step, taskCount, allowed);
        }
        return allowed;
    }
    const auto mostWorkers = isAllOrNothing ? std::numeric_limits<std::size_t>::max() : maxWorkersPerRequest;
    auto chosen = findUnknownTargets(step, isAllOrNothing, mostWorkers);
    if (isAllOrNothing) {
        chosen.resize(std::min(chosen.size(), estimateWorkersToAsk(step, allowed, chosen, taskCount)));
    }
    if (isFirstRequest || !isAllOrNothing) {
        planTasks(step, chosen, taskCount, isAllOrNothing);
    }
    return chosen;
}

void TaskPlacer::addUnknownTargets(StepState &step, int taskCount, std::vector<WorkerCapacity *> &targets)
{
    const auto &planned = step.advice.plannedTasks;
    const int plannedCount = std::accumulate(
        planned.begin(), planned.end(), 0, [](int sum, const auto &entry) { return sum + entry.second; });
    if (plannedCount >= taskCount || targets.size() >= maxWorkersPerRequest) {
        return;
    }
    const auto unknown = findUnknownTargets(step, false, maxWorkersPerRequest - targets.size());
    targets.insert(targets.end(), unknown.begin(), unknown.end());
}

int TaskPlacer::countTasksThatFit(const StepState &step, const WorkerCapacity &workerCapacity)
{
    const auto need = JobManager::makeClaim(step).need;
    const auto &entry = workerCapacity.worker->entry;
    auto available = entry.capacity;
    const int maxTasks = countTasksLeft(step, entry.id, countRunsByWorker(step));
    int count = 0;
    while (count < maxTasks && need.fitsIn(available)) {
        available -= need;
        ++count;
    }
    return count;
}

std::size_t TaskPlacer::estimateWorkersToAsk(const StepState &step,
                                             const std::vector<WorkerCapacity *> &allowed,
                                             const std::vector<WorkerCapacity *> &unknown,
                                             int taskCount) const
{
    double missingTasks = taskCount;
    for (auto next = allowed.begin(); next != allowed.end() && missingTasks > 0; ++next) {
        missingTasks -= countTasksThatFit(step, **next);
    }
    missingTasks *= gangRequestMargin / adviceShares_.allowedShare(step.job->queue.name);
    std::size_t count = 0;
    while (count < unknown.size() && missingTasks > 0) {
        missingTasks -= countTasksThatFit(step, *unknown[count]);
        ++count;
    }
    return std::max(count, maxWorkersPerRequest);
}

bool TaskPlacer::planTasks(StepState &step,
                           const std::vector<WorkerCapacity *> &workerCapacities,
                           int taskCount,
                           bool isAllOrNothing)
{
    const auto need = JobManager::makeClaim(step).need;
    const auto priority = step.job->queue.priority;
    auto &plannedTasks = step.advice.plannedTasks;
    plannedTasks.clear();
    int plannedCount = 0;
    const auto runsByWorker = countRunsByWorker(step);
    const auto planOnWorker = [&](const WorkerCapacity &workerCapacity, Resources available) {
        auto &count = plannedTasks[workerCapacity.worker->entry.id];
        available -= need * count;
        const int maxTasks = countTasksLeft(step, workerCapacity.id, runsByWorker);
        while (plannedCount < taskCount && count < maxTasks && need.fitsIn(available)) {
            available -= need;
            ++count;
            ++plannedCount;
        }
    };
    for (const auto *workerCapacity : workerCapacities) {
        planOnWorker(*workerCapacity, workerCapacity->freeFor(&step, priority));
    }
    // Capacity in use by less urgent runs is reserved while the request is pending, and preempted once the permits have arrived.
    const auto right = findPreemptionRight(step);
    for (const auto *workerCapacity : workerCapacities) {
        if (right && plannedCount < taskCount && workerCapacity->fitsAfterPreemption(need, *right)) {
            planOnWorker(*workerCapacity, workerCapacity->freeAfterPreemption(*right));
        }
    }
    std::erase_if(plannedTasks, [](const auto &entry) { return entry.second == 0; });
    const bool isEnough = isAllOrNothing ? plannedCount == taskCount : plannedCount > 0;
    if (!isEnough) {
        plannedTasks.clear();
    }
    return isEnough;
}

bool TaskPlacer::requestAdvice(StepState &step, int taskCount, bool isAllOrNothing)
{
    auto &advice = step.advice;
    const bool hasKeptPlan = isAllOrNothing && !advice.plannedTasks.empty() && now_ < advice.planExpiresAt;
    taskCount = isAllOrNothing ? taskCount : countStartable(step, taskCount);
    if (!mayRequestAdvice(step) || hasKeptPlan || taskCount <= 0) {
        return false;
    }
    // A request that has to queue would reserve capacity for too long and be answered too late. It is left to the next round, which
    // sends requests in the order of the steps' ranks.
    const auto &policy = *step.job->queue.advice;
    const auto expectedTime = estimateResponseTime(policy, maxWorkersPerRequest);
    if (expectedTime >= unsendableAdviceTime_ || !advisor_.canSendNow(expectedTime)) {
        unsendableAdviceTime_ = std::min(unsendableAdviceTime_, expectedTime);
        return false;
    }
    releasePlannedCapacity(step);
    const auto chosen = chooseAdviceTargets(step, taskCount, isAllOrNothing);
    if (chosen.empty()) {
        // The search visits each worker of the service for each waiting step, and there is a round every few milliseconds.
        step.search.adviceSearchAt = now_ + computeSearchDelay(step, isAllOrNothing ? gangSearchDelay : searchDelay);
    }
    // Requests that are sent together are answered together, so that their permits are valid at the same time.
    for (std::size_t first = 0; first < chosen.size(); first += maxWorkersPerRequest) {
        if (first > 0 && !advisor_.canSendNow(expectedTime)) {
            break;
        }
        const auto last = std::min(first + maxWorkersPerRequest, chosen.size());
        sendAdviceRequest(step, { chosen.data() + first, last - first });
    }
    reserveCapacity(step);
    return true;
}

void TaskPlacer::sendAdviceRequest(StepState &step, std::span<WorkerCapacity *const> workerCapacities)
{
    AdviceRequest request;
    request.step = { step.job->spec.id, step.occurrence, step.index, 0 };
    for (const auto *workerCapacity : workerCapacities) {
        request.workers.push_back(workerCapacity->worker->entry.id);
    }
    request.expected = estimateResponseTime(*step.job->queue.advice, request.workers.size());
    request.timeout = adviceTimeout;
    request.priority = step.job->queue.priority;
    ++step.advice.pendingRequests;
    step.advice.wasRequested = true;
    advisor_.ask(request, [this, isAlive = isAlive_, request](const AdviceResult &result) {
        if (*isAlive) {
            onAdvice(request.step, request.workers, result);
        }
    });
}

void TaskPlacer::onAdvice(const TaskName &name, const std::vector<std::string> &askedWorkers, const AdviceResult &result)
{
    const auto job = jobManager_.jobs().find(name.job);
    auto *step = job == jobManager_.jobs().end() ? nullptr : job->second->step(name.occurrence, name.step);
    if (step == nullptr) {
        return;
    }
    auto &advice = step->advice;
    --advice.pendingRequests;
    now_ = timers_.now();
    step->search = StepSearch();
    jobManager_.capacityChanged();
    if (result.outcome != AdviceResult::Outcome::Answered) {
        advice.retryAt = now_ + adviceRetryDelay;
        keepPermittedPlan(*step);
        reserveCapacity(*step);
        return;
    }
    const auto &policy = job->second->queue.advice;
    const auto validity = result.validity > Milliseconds(0) || !policy ? result.validity : policy->permitValidity;
    adviceShares_.add(job->second->queue.name, askedWorkers.size(), result.permits.size());
    advice.denied.insert(askedWorkers.begin(), askedWorkers.end());
    for (const auto &permit : result.permits) {
        advice.denied.erase(permit.worker);
        if (const auto *worker = fleet_.worker(permit.worker)) {
            advice.allowed[permit.worker] = { permit.ticket, now_ + validity - permitExpiryMargin, worker->entry.incarnation };
        }
    }
    keepPermittedPlan(*step);
    reserveCapacity(*step);
    EventLog::writeRateLimited(
        "advice",
        { { "job", name.job }, { "step", name.step }, { "asked", askedWorkers.size() }, { "allowed", result.permits.size() } });
}

void TaskPlacer::keepPermittedPlan(StepState &step)
{
    auto &advice = step.advice;
    if (advice.pendingRequests > 0) {
        return;
    }
    advice.planExpiresAt = TimePoint::max();
    int plannedCount = 0;
    std::erase_if(advice.plannedTasks, [&](const auto &planned) {
        const auto permit = advice.allowed.find(planned.first);
        if (permit == advice.allowed.end() || permit->second.expiresAt <= now_) {
            return true;
        }
        advice.planExpiresAt = std::min(advice.planExpiresAt, permit->second.expiresAt);
        plannedCount += planned.second;
        return false;
    });
    // Single tasks start one by one where there is room, and a gang gains nothing from a part of its plan: both would keep others
    // out until the step's turn, which a long queue delays.
    if (!step.spec().isGang || plannedCount < static_cast<int>(step.tasks.size())) {
        advice.plannedTasks.clear();
    }
}

} // namespace auburndoor
