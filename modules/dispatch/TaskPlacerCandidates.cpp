#include "dispatch/TaskPlacer.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace auburndoor {

int TaskPlacer::countIdleTasks(const StepState &step)
{
    return static_cast<int>(std::count_if(step.tasks.begin(), step.tasks.end(), [](const Task &task) { return task.isIdle(); }));
}

std::unordered_map<std::string, int> TaskPlacer::countRunsByWorker(const StepState &step)
{
    std::unordered_map<std::string, int> counts;
    if (step.spec().maxTasksPerWorker == 0) {
        return counts;
    }
    for (const auto &task : step.tasks) {
        for (const auto &place : task.runs) {
            ++counts[place.worker];
        }
    }
    return counts;
}

int TaskPlacer::countTasksLeft(const StepState &step,
                               const std::string &worker,
                               const std::unordered_map<std::string, int> &runsByWorker)
{
    const auto maxTasks = step.spec().maxTasksPerWorker;
    if (maxTasks == 0) {
        return std::numeric_limits<int>::max();
    }
    const auto found = runsByWorker.find(worker);
    return found == runsByWorker.end() ? maxTasks : maxTasks - found->second;
}

std::optional<TaskPlacer::Candidate> TaskPlacer::makeCandidate(const StepState &step,
                                                               WorkerCapacity &workerCapacity,
                                                               const std::unordered_map<std::string, int> &runsByWorker) const
{
    const auto &spec = step.spec();
    if (!workerCapacity.isUsable || workerCapacity.worker->isIsolatedFrom(step.job->spec.id)) {
        return std::nullopt;
    }
    const auto &entry = workerCapacity.worker->entry;
    Candidate candidate { &workerCapacity, workerCapacity.freeFor(&step, step.job->queue.priority), 0, nullptr };
    if (!JobManager::makeClaim(step).need.fitsIn(candidate.free)
        || (!spec.requiredLabel.empty() && !entry.hasLabel(spec.requiredLabel))) {
        return std::nullopt;
    }
    candidate.tasksLeft = countTasksLeft(step, entry.id, runsByWorker);
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
    const auto runsByWorker = countRunsByWorker(step);
    const auto addCandidate = [&](WorkerCapacity &workerCapacity, const StepAdvice::WorkerPermit *permit) {
        ++statistics_.workersVisited;
        if (auto candidate = makeCandidate(step, workerCapacity, runsByWorker)) {
            candidate->permit = permit;
            candidates.push_back(*candidate);
        }
    };
    const bool needsPermit = step.job->queue.advice.has_value();
    if (step.search.isExhausted && !step.spec().isGang) {
        for (auto *workerCapacity : serviceCapacity.findGrownSince(step.search.seenGrowth)) {
            const auto *permit = needsPermit ? findPermit(step, *workerCapacity) : nullptr;
            if (!needsPermit || permit != nullptr) {
                addCandidate(*workerCapacity, permit);
            }
        }
        return candidates;
    }
    if (!needsPermit) {
        for (auto &workerCapacity : serviceCapacity.workerCapacities()) {
            addCandidate(workerCapacity, nullptr);
        }
        return candidates;
    }
    for (const auto &[id, permit] : step.advice.allowed) {
        auto *workerCapacity = permit.expiresAt > now_ ? serviceCapacity.find(id) : nullptr;
        if (workerCapacity != nullptr && permit.workerIncarnation == workerCapacity->worker->entry.incarnation) {
            addCandidate(*workerCapacity, &permit);
        }
    }
    return candidates;
}

double TaskPlacer::computeCost(const StepState &step, const Candidate &candidate) const
{
    const auto &spec = step.spec();
    const auto &entry = candidate.workerCapacity->worker->entry;
    // Best fit: the base cost is the dominant share left free, at most 1; each preference outweighs it.
    constexpr double remoteDataCost = 10.0;
    constexpr double interferenceCost = 5.0;
    double result = dominantShare(candidate.free - JobManager::makeClaim(step).need, entry.capacity);
    if (!spec.dataRack.empty() && entry.rack() != spec.dataRack) {
        result += remoteDataCost;
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
    // Outweighs every preference in computeCost().
    constexpr double earlierFailureCost = 20.0;
    // Suspected tasks of several jobs on one worker could not be told from each other by its next crash.
    constexpr double otherSuspectsCost = 40.0;
    const auto &job = step.job->spec.id;
    const bool isSuspected = task.crashes.suspicion() != Suspicion::None;
    const bool mustBeAlone = jobManager_.isWaitingForIsolation(task);
    const auto need = JobManager::makeClaim(step).need;
    for (auto &candidate : candidates) {
        if (candidate.tasksLeft <= 0 || !need.fitsIn(candidate.free)
            || (!rack.empty() && candidate.workerCapacity->worker->entry.rack() != rack)
            || (mustBeAlone && candidate.workerCapacity->worker->hasOtherJobs(job))) {
            continue;
        }
        const bool hasFailedHere = task.failedOn == candidate.workerCapacity->id;
        const bool hasOtherSuspects = isSuspected && candidate.workerCapacity->worker->hasOtherSuspects(job);
        const auto candidateCost = computeCost(step, candidate) + (hasFailedHere ? earlierFailureCost : 0.0)
                                   + (hasOtherSuspects ? otherSuspectsCost : 0.0);
        if (candidateCost < bestCost) {
            bestCost = candidateCost;
            best = &candidate;
        }
    }
    return best;
}

class TaskPlacer::CandidateHeap
{
public:
    CandidateHeap(const TaskPlacer &placer, const StepState &step, std::vector<Candidate> &candidates)
        : placer_(placer), step_(step), candidates_(candidates), need_(JobManager::makeClaim(step).need)
    {
        heap_.reserve(candidates.size());
        for (auto &candidate : candidates) {
            candidate.cost = placer.computeCost(step, candidate);
            heap_.push_back(&candidate);
        }
        std::make_heap(heap_.begin(), heap_.end(), isWorse);
    }

    /** The candidate with the lowest cost for the task; null if the task fits on none. */
    Candidate *best(const Task &task)
    {
        dropFull();
        const bool isSuspected = task.crashes.suspicion() != Suspicion::None;
        if (heap_.empty() || (heap_.front()->workerCapacity->id != task.failedOn && !isSuspected)) {
            return heap_.empty() ? nullptr : heap_.front();
        }
        return placer_.chooseCandidate(step_, task, candidates_, {});
    }

    /** To be called after a task was placed on the candidate. */
    void update(Candidate &candidate)
    {
        if (heap_.front() != &candidate) {
            candidate.cost = placer_.computeCost(step_, candidate);
            std::make_heap(heap_.begin(), heap_.end(), isWorse);
            return;
        }
        std::pop_heap(heap_.begin(), heap_.end(), isWorse);
        candidate.cost = placer_.computeCost(step_, candidate);
        std::push_heap(heap_.begin(), heap_.end(), isWorse);
    }

private:
    static bool isWorse(const Candidate *left, const Candidate *right)
    {
        return std::tie(right->cost, right) < std::tie(left->cost, left);
    }

    void dropFull()
    {
        while (!heap_.empty() && (heap_.front()->tasksLeft <= 0 || !need_.fitsIn(heap_.front()->free))) {
            std::pop_heap(heap_.begin(), heap_.end(), isWorse);
            heap_.pop_back();
        }
    }

    const TaskPlacer &placer_;
    const StepState &step_;
    std::vector<Candidate> &candidates_;
    Resources need_;
    std::vector<Candidate *> heap_;
};

void TaskPlacer::placeTasks(StepState &step)
{
    const auto isWindowFull = [this] { return !fleet_.maySendStart(); };
    auto candidates = findCandidates(step);
    CandidateHeap heap(*this, step, candidates);
    int unplaced = 0;
    for (std::size_t index = 0; index < step.tasks.size(); ++index) {
        auto &task = step.tasks[index];
        if (!task.isIdle()) {
            continue;
        }
        auto *candidate = heap.best(task);
        if (candidate != nullptr && isWindowFull()) {
            // There is capacity: the rest starts once starts on their way are answered.
            step.search.isExhausted = false;
            return;
        }
        if (candidate == nullptr) {
            // Preemption or advice does not empty a worker.
            unplaced += !candidates.empty() && jobManager_.isWaitingForIsolation(task) ? 0 : 1;
            continue;
        }
        if (countStartable(step, 1) < 1) {
            break;
        }
        start(step, static_cast<int>(index), *candidate, jobManager_.nextAttempt(task));
        heap.update(*candidate);
    }
    // Tasks beyond the account's limit are not short of room.
    unplaced = countStartable(step, unplaced);
    if (noteSearch(step, unplaced == 0)) {
        unplaced -= preemptForTasks(step, unplaced, false);
    }
    if (unplaced > 0 && step.job->queue.advice) {
        requestAdvice(step, unplaced, false);
    }
}

} // namespace auburndoor
