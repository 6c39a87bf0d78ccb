#include "dispatch/TaskPlacer.h"

#include "observability/EventLog.h"

#include <algorithm>
#include <limits>
#include <set>

namespace auburndoor {

namespace {

// Beyond this multiple of its objective a job no longer counts as late but as lost.
constexpr int lostAfterObjectives = 3;
// A round that takes longer is continued later: pulses and callers wait for less than a tenth of the patience they have.
constexpr Milliseconds longestRound { 10 };

} // namespace

TimePoint lostAt(const JobState &job)
{
    return job.seenAt + (job.objective - job.seenAt) * lostAfterObjectives;
}

TaskPlacer::TaskPlacer(Timers &timers, JobManager &jobManager, Fleet &fleet, Advisor &advisor, TimePoint inheritedHold)
    : timers_(timers)
    , jobManager_(jobManager)
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

bool TaskPlacer::mayStart(const JobState &job)
{
    if (job.stage != JobStage::Queued && job.stage != JobStage::Running) {
        return false;
    }
    return !job.isInherited || timers_.now() > inheritedHold_ || !hasUnreadWorkers(job.queue.service);
}

bool TaskPlacer::hasUnreadWorkers(const std::string &service)
{
    const auto [found, isNew] = unread_.try_emplace(service);
    if (isNew) {
        found->second = fleet_.hasUnreadWorkers(service);
    }
    return found->second;
}

TaskPlacer::StepRank TaskPlacer::rankOf(const StepState &step, TimePoint now)
{
    const auto &job = *step.job;
    return { job.queue.priority, now > lostAt(job), job.objective, job.spec.id, step.occurrence, step.index };
}

std::vector<std::pair<TaskPlacer::StepRank, StepState *>> TaskPlacer::readySteps()
{
    std::vector<std::pair<StepRank, StepState *>> steps;
    const auto now = timers_.now();
    for (const auto &[id, job] : jobManager_.jobs()) {
        // The advice for a job is asked for while it is being stored.
        const bool isPrepared = job->stage == JobStage::Recording && job->queue.advice.has_value();
        if (!mayStart(*job) && !isPrepared) {
            continue;
        }
        for (auto &[number, occurrence] : job->occurrences) {
            for (auto &step : occurrence.steps) {
                const bool isOpen = step.spec().isGang ? !step.isDone() && !step.hasRuns() : step.hasIdleTask();
                if (isOpen && occurrence.isReady(step)) {
                    steps.emplace_back(rankOf(step, now), &step);
                }
            }
        }
    }
    std::sort(steps.begin(), steps.end());
    return steps;
}

void TaskPlacer::beginRound()
{
    services_.clear();
    unread_.clear();
    for (const auto &[id, worker] : fleet_.workers()) {
        if (fleet_.isUsable(*worker)) {
            services_[worker->entry.service].add(*worker);
        }
    }
    // Rooms that steps wait to use until their advice arrives.
    for (const auto &[id, job] : jobManager_.jobs()) {
        for (auto &[number, occurrence] : job->occurrences) {
            for (auto &step : occurrence.steps) {
                holdRooms(step);
            }
        }
    }
}

ServiceRooms &TaskPlacer::roomsOf(const StepState &step)
{
    return services_[step.job->queue.service];
}

bool TaskPlacer::place()
{
    const auto startedAt = timers_.now();
    beginRound();
    auto steps = readySteps();
    const auto first = resumeAfter_ ? std::find_if(
                           steps.begin(), steps.end(), [this](const auto &step) { return *resumeAfter_ < step.first; })
                                    : steps.begin();
    resumeAfter_.reset();
    for (auto next = first; next != steps.end(); ++next) {
        placeStep(*next->second);
        if (timers_.now() - startedAt > longestRound && next + 1 != steps.end()) {
            resumeAfter_ = next->first;
            return false;
        }
    }
    // The end of an interrupted round is followed by a whole one.
    return first == steps.begin();
}

void TaskPlacer::placeStep(StepState &step)
{
    if (step.job->stage == JobStage::Recording) {
        askAdvice(step, static_cast<int>(step.tasks.size()), step.spec().isGang);
    } else if (step.spec().isGang) {
        placeGang(step);
    } else {
        placeTasks(step);
    }
}

int TaskPlacer::tasksLeftFor(const StepState &step, const std::string &worker)
{
    const auto most = step.spec().maxTasksPerWorker;
    if (most == 0) {
        return std::numeric_limits<int>::max();
    }
    int present = 0;
    for (const auto &task : step.tasks) {
        present += static_cast<int>(
            std::count_if(task.runs.begin(), task.runs.end(), [&](const auto &place) { return place.worker == worker; }));
    }
    return most - present;
}

std::optional<TaskPlacer::Candidate> TaskPlacer::candidateAt(const StepState &step, WorkerRoom &room) const
{
    const auto &spec = step.spec();
    const auto &entry = room.worker->entry;
    Candidate candidate { &room, room.freeFor(&step, step.job->queue.priority), 0, nullptr };
    if (!JobManager::claimOf(step).need.fitsIn(candidate.free)
        || (!spec.requiredLabel.empty() && !entry.hasLabel(spec.requiredLabel))) {
        return std::nullopt;
    }
    candidate.tasksLeft = tasksLeftFor(step, entry.id);
    if (candidate.tasksLeft <= 0) {
        return std::nullopt;
    }
    return candidate;
}

std::vector<TaskPlacer::Candidate> TaskPlacer::candidatesOf(StepState &step)
{
    std::vector<Candidate> candidates;
    auto &service = roomsOf(step);
    if (!service.mayHaveFree(JobManager::claimOf(step).need)) {
        return candidates;
    }
    const auto addCandidate = [&](WorkerRoom &room, const StepAdvice::Entry *permit) {
        if (auto candidate = candidateAt(step, room)) {
            candidate->permit = permit;
            candidates.push_back(*candidate);
        }
    };
    if (!step.job->queue.advice) {
        for (auto &room : service.rooms()) {
            addCandidate(room, nullptr);
        }
        return candidates;
    }
    const auto now = timers_.now();
    for (const auto &[id, permit] : step.advice.allowed) {
        auto *room = permit.expiresAt > now ? service.find(id) : nullptr;
        if (room != nullptr && permit.workerIncarnation == room->worker->entry.incarnation) {
            addCandidate(*room, &permit);
        }
    }
    return candidates;
}

double TaskPlacer::cost(const StepState &step, const Task &task, const Candidate &candidate) const
{
    const auto &spec = step.spec();
    const auto &entry = candidate.room->worker->entry;
    // Best fit: what is left of the dominant resource decides; preferences outweigh it.
    constexpr double farFromData = 10.0;
    constexpr double failedThere = 20.0;
    constexpr double disturbs = 5.0;
    double result = dominantShare(candidate.free - JobManager::claimOf(step).need, entry.capacity);
    if (!spec.dataRack.empty() && entry.rack() != spec.dataRack) {
        result += farFromData;
    }
    if (task.failedOn == entry.id) {
        result += failedThere;
    }
    const auto kind = JobManager::claimOf(step).kind;
    if (kind != RunKind::Plain) {
        const auto other = kind == RunKind::Fills ? RunKind::Serves : RunKind::Fills;
        const auto &runs = candidate.room->worker->runs;
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
    const auto need = JobManager::claimOf(step).need;
    for (auto &candidate : candidates) {
        if (candidate.tasksLeft <= 0 || !need.fitsIn(candidate.free)
            || (!rack.empty() && candidate.room->worker->entry.rack() != rack)) {
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
    const auto &id = candidate.room->worker->entry.id;
    StartCommand order;
    order.task = { job.spec.id, step.occurrence, step.index, index };
    order.attempt = attempt;
    order.payload = job.spec.payload;
    order.checkpoint = task.checkpoint;
    if (candidate.permit != nullptr) {
        order.permit = candidate.permit->ticket;
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
    const auto claim = JobManager::claimOf(step);
    candidate.free -= claim.need;
    candidate.room->expected -= claim.need;
    --candidate.tasksLeft;
    jobManager_.noteStart(step, index, { id, attempt });
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
        start(step, static_cast<int>(index), *candidate, jobManager_.nextAttempt(task));
    }
    if (unplaced > 0) {
        unplaced -= reclaim(step, unplaced, false);
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
    const auto need = JobManager::claimOf(step).need;
    for (const auto &task : step.tasks) {
        auto *candidate = choose(step, task, candidates, rack);
        if (candidate == nullptr) {
            break;
        }
        candidate->free -= need;
        --candidate->tasksLeft;
        chosen.push_back(candidate);
    }
    for (auto *candidate : chosen) {
        candidate->free += need;
        ++candidate->tasksLeft;
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
            racks.insert(candidate.room->worker->entry.rack());
        }
        for (auto rack = racks.begin(); rack != racks.end() && chosen.empty(); ++rack) {
            chosen = fitGang(step, candidates, *rack);
        }
    }
    if (chosen.empty()) {
        chosen = fitGang(step, candidates, {});
    }
    if (chosen.empty()) {
        const auto members = static_cast<int>(step.tasks.size());
        if (reclaim(step, members, true) == 0 && step.job->queue.advice) {
            askAdvice(step, members, true);
        }
        return;
    }
    // All members share the attempt and the checkpoint.
    std::int64_t attempt = 0;
    std::string checkpoint;
    for (const auto &task : step.tasks) {
        attempt = std::max(attempt, jobManager_.nextAttempt(task));
        checkpoint = task.checkpoint.empty() ? checkpoint : task.checkpoint;
    }
    for (std::size_t index = 0; index < step.tasks.size(); ++index) {
        step.tasks[index].checkpoint = checkpoint;
        start(step, static_cast<int>(index), *chosen[index], attempt);
    }
}

} // namespace auburndoor
