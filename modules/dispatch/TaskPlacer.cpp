#include "dispatch/TaskPlacer.h"

#include "observability/EventLog.h"

#include <algorithm>
#include <limits>
#include <set>

namespace auburndoor {

namespace {

// Beyond this multiple of its objective a job no longer counts as late but as lost.
constexpr int lostAfterObjectives = 3;

} // namespace

TimePoint lostAt(const JobState &job)
{
    return job.seenAt + (job.objective - job.seenAt) * lostAfterObjectives;
}

TaskPlacer::TaskPlacer(Timers &timers, JobBook &book, Fleet &fleet, Advisor &advisor, TimePoint inheritedHold)
    : timers_(timers)
    , book_(book)
    , fleet_(fleet)
    , advisor_(advisor)
    , inheritedHold_(inheritedHold)
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

bool TaskPlacer::mayStart(const JobState &job) const
{
    if (job.stage != JobStage::Queued && job.stage != JobStage::Running) {
        return false;
    }
    return !job.isInherited || timers_.now() > inheritedHold_ || !fleet_.hasUnreadWorkers(job.queue.service);
}

std::vector<StepState *> TaskPlacer::readySteps()
{
    std::vector<StepState *> steps;
    for (const auto &[id, job] : book_.jobs()) {
        // The advice for a job is asked for while it is being stored.
        const bool isPrepared = job->stage == JobStage::Recording && job->queue.advice.has_value();
        if (!mayStart(*job) && !isPrepared) {
            continue;
        }
        for (auto &[number, occurrence] : job->occurrences) {
            for (auto &step : occurrence.steps) {
                const bool isOpen = step.spec().isGang ? !step.isDone() && !step.hasRuns() : step.hasIdleTask();
                if (isOpen && occurrence.isReady(step)) {
                    steps.push_back(&step);
                }
            }
        }
    }
    const auto now = timers_.now();
    std::sort(steps.begin(), steps.end(), [now](const StepState *left, const StepState *right) {
        const auto rank = [now](const StepState &step) {
            return std::tuple(
                step.job->queue.priority, now > lostAt(*step.job), step.job->objective, step.job->spec.id, step.index);
        };
        return rank(*left) < rank(*right);
    });
    return steps;
}

void TaskPlacer::beginRound()
{
    rooms_.clear();
    holds_.clear();
    usable_.clear();
    largestFree_.clear();
    for (const auto &[id, worker] : fleet_.workers()) {
        if (fleet_.isUsable(*worker)) {
            usable_[worker->entry.service].push_back(worker.get());
            auto &largest = largestFree_[worker->entry.service];
            const auto free = worker->free();
            largest.milliCores = std::max(largest.milliCores, free.milliCores);
            largest.memoryMiB = std::max(largest.memoryMiB, free.memoryMiB);
            largest.accelerators = std::max(largest.accelerators, free.accelerators);
        }
    }
    // Rooms that steps wait to use until their advice arrives.
    for (const auto &[id, job] : book_.jobs()) {
        for (auto &[number, occurrence] : job->occurrences) {
            for (auto &step : occurrence.steps) {
                holdRooms(step);
            }
        }
    }
}

Resources TaskPlacer::freeFor(const StepState &step, const WorkerState &worker)
{
    auto free = worker.free();
    const auto priority = step.job->queue.priority;
    if (const auto rooms = rooms_.find(worker.entry.service); rooms != rooms_.end()) {
        const auto room = rooms->second.find(worker.entry.id);
        if (room != rooms->second.end() && room->second.claimedBy < priority) {
            return { -1, -1, -1, 0, 0 };
        }
    }
    if (const auto holds = holds_.find(worker.entry.id); holds != holds_.end()) {
        for (const auto &hold : holds->second) {
            if (hold.step != &step && hold.priority <= priority) {
                free -= hold.need;
            }
        }
    }
    return free;
}

void TaskPlacer::place()
{
    beginRound();
    for (auto *step : readySteps()) {
        if (step->job->stage == JobStage::Recording) {
            askAdvice(*step, static_cast<int>(step->tasks.size()), step->spec().isGang);
            continue;
        }
        if (step->spec().isGang) {
            placeGang(*step);
        } else {
            placeTasks(*step);
        }
    }
}

std::vector<TaskPlacer::Candidate> TaskPlacer::candidatesOf(StepState &step)
{
    std::vector<Candidate> candidates;
    const auto &spec = step.spec();
    const auto now = timers_.now();
    const auto need = JobBook::claimOf(step).need;
    if (!need.fitsIn(largestFree_[step.job->queue.service])) {
        return candidates;
    }
    std::map<std::string, int> tasksOn;
    for (const auto &task : step.tasks) {
        for (const auto &place : task.runs) {
            ++tasksOn[place.worker];
        }
    }
    for (auto *worker : usable_[step.job->queue.service]) {
        const auto &id = worker->entry.id;
        const auto free = freeFor(step, *worker);
        if (!need.fitsIn(free) || (!spec.requiredLabel.empty() && !worker->entry.hasLabel(spec.requiredLabel))) {
            continue;
        }
        Candidate candidate { worker, free, tasksOn[id], nullptr };
        if (spec.maxTasksPerWorker > 0 && candidate.tasksOfStep >= spec.maxTasksPerWorker) {
            continue;
        }
        if (const auto permit = step.advice.allowed.find(id); permit != step.advice.allowed.end() && permit->second.expiresAt > now
                                                              && permit->second.workerBornAt == worker->entry.bornAt) {
            candidate.permit = &permit->second;
        }
        candidates.push_back(candidate);
    }
    return candidates;
}

double TaskPlacer::cost(const StepState &step, const Task &task, const Candidate &candidate) const
{
    const auto &spec = step.spec();
    const auto &entry = candidate.worker->entry;
    // Best fit: what is left of the dominant resource decides; preferences outweigh it.
    constexpr double farFromData = 10.0;
    constexpr double failedThere = 20.0;
    constexpr double disturbs = 5.0;
    double result = dominantShare(candidate.free - JobBook::claimOf(step).need, entry.capacity);
    if (!spec.dataRack.empty() && entry.rack() != spec.dataRack) {
        result += farFromData;
    }
    if (task.failedOn == entry.id) {
        result += failedThere;
    }
    const auto kind = JobBook::claimOf(step).kind;
    if (kind != RunKind::Plain) {
        const auto other = kind == RunKind::Fills ? RunKind::Serves : RunKind::Fills;
        const auto &runs = candidate.worker->runs;
        const bool meets = std::any_of(
            runs.begin(), runs.end(), [other](const auto &run) { return run.second.claim.kind == other; });
        result += meets ? disturbs : 0.0;
    }
    return result;
}

TaskPlacer::Candidate *TaskPlacer::choose(const StepState &step,
                                          const Task &task,
                                          std::vector<Candidate> &candidates,
                                          const std::string &rack) const
{
    Candidate *best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    const auto &spec = step.spec();
    const auto need = JobBook::claimOf(step).need;
    for (auto &candidate : candidates) {
        const bool isPermitted = !step.job->queue.advice || candidate.permit != nullptr;
        const bool isApart = spec.maxTasksPerWorker == 0 || candidate.tasksOfStep < spec.maxTasksPerWorker;
        if (!isPermitted || !isApart || !need.fitsIn(candidate.free) || (!rack.empty() && candidate.worker->entry.rack() != rack)) {
            continue;
        }
        const auto candidateCost = cost(step, task, candidate);
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
    const auto &id = candidate.worker->entry.id;
    StartOrder order;
    order.task = { job.spec.id, step.occurrence, step.index, index };
    order.attempt = attempt;
    order.payload = job.spec.payload;
    order.checkpoint = task.checkpoint;
    if (candidate.permit != nullptr) {
        order.permit = candidate.permit->ticket;
    }
    EventLog::routine("run.start",
                      { { "job", job.spec.id },
                        { "occurrence", step.occurrence },
                        { "step", step.index },
                        { "index", index },
                        { "attempt", attempt },
                        { "worker", id },
                        { "ready_ms", std::chrono::duration_cast<Milliseconds>(timers_.now() - step.readySince).count() },
                        { "free_cores", candidate.free.milliCores } });
    const auto claim = JobBook::claimOf(step);
    candidate.free -= claim.need;
    ++candidate.tasksOfStep;
    book_.noteStart(step, index, { id, attempt });
    fleet_.start(id, order, claim);
}

void TaskPlacer::placeTasks(StepState &step)
{
    auto candidates = candidatesOf(step);
    int unplaced = 0;
    for (std::size_t index = 0; index < step.tasks.size(); ++index) {
        auto &task = step.tasks[index];
        if (!task.isIdle()) {
            continue;
        }
        auto *candidate = candidates.empty() ? nullptr : choose(step, task, candidates, {});
        if (candidate == nullptr) {
            ++unplaced;
            continue;
        }
        start(step, static_cast<int>(index), *candidate, book_.nextAttempt(task));
    }
    if (unplaced > 0) {
        reclaim(step, unplaced, false);
    }
    if (unplaced > 0 && step.job->queue.advice) {
        askAdvice(step, unplaced, false);
    }
}

std::vector<TaskPlacer::Candidate *> TaskPlacer::fitGang(StepState &step,
                                                         std::vector<Candidate> &candidates,
                                                         const std::string &rack) const
{
    std::vector<Candidate *> chosen;
    const auto need = JobBook::claimOf(step).need;
    for (const auto &task : step.tasks) {
        auto *candidate = choose(step, task, candidates, rack);
        if (candidate == nullptr) {
            break;
        }
        candidate->free -= need;
        ++candidate->tasksOfStep;
        chosen.push_back(candidate);
    }
    for (auto *candidate : chosen) {
        candidate->free += need;
        --candidate->tasksOfStep;
    }
    if (chosen.size() != step.tasks.size()) {
        chosen.clear();
    }
    return chosen;
}

void TaskPlacer::placeGang(StepState &step)
{
    auto candidates = candidatesOf(step);
    std::vector<Candidate *> chosen;
    if (step.spec().prefersOneRack) {
        std::set<std::string> racks;
        for (const auto &candidate : candidates) {
            racks.insert(candidate.worker->entry.rack());
        }
        for (auto rack = racks.begin(); rack != racks.end() && chosen.empty(); ++rack) {
            chosen = fitGang(step, candidates, *rack);
        }
    }
    if (chosen.empty()) {
        chosen = fitGang(step, candidates, {});
    }
    if (chosen.empty()) {
        reclaim(step, static_cast<int>(step.tasks.size()), true);
        if (step.job->queue.advice) {
            askAdvice(step, static_cast<int>(step.tasks.size()), true);
        }
        return;
    }
    // All members share the attempt and the checkpoint.
    std::int64_t attempt = 0;
    std::string checkpoint;
    for (const auto &task : step.tasks) {
        attempt = std::max(attempt, book_.nextAttempt(task));
        checkpoint = task.checkpoint.empty() ? checkpoint : task.checkpoint;
    }
    for (std::size_t index = 0; index < step.tasks.size(); ++index) {
        step.tasks[index].checkpoint = checkpoint;
        start(step, static_cast<int>(index), *chosen[index], attempt);
    }
}

} // namespace auburndoor
