#include "dispatch/TaskPlacer.h"
#include "observability/EventLog.h"

#include <algorithm>

namespace auburndoor {

namespace {

// A permit is not used in its last moments: the order needs a way to the worker.
constexpr Milliseconds permitMargin { 80 };
// The chain of work that an objective is worked out from counts one question on so many workers.
constexpr std::size_t maxWorkersAsked = 30;
// A further question names all workers that are known to be allowed, up to so many: room may appear on any of them.
constexpr std::size_t maxKnownAsked = 12;
constexpr Milliseconds adviceTimeout { 4000 };
constexpr Milliseconds adviceRetry { 150 };

Milliseconds expectedTime(const AdvicePolicy &policy, std::size_t workers)
{
    return std::chrono::duration_cast<Milliseconds>(policy.decisionTime + policy.timePerWorker * static_cast<double>(workers));
}

} // namespace

void TaskPlacer::holdRooms(StepState &step)
{
    for (const auto &[id, count] : step.advice.planned) {
        const auto need = JobBook::claimOf(step).need;
        for (int task = 0; task < count; ++task) {
            holds_[id].push_back({ &step, step.job->queue.priority, need });
        }
    }
}

std::vector<WorkerState *> TaskPlacer::workersToAsk(StepState &step, int taskCount, bool isWhole)
{
    auto &advice = step.advice;
    const auto claim = JobBook::claimOf(step);
    const auto now = timers_.now();
    std::vector<WorkerState *> withRoom;
    std::vector<WorkerState *> others;
    for (auto *worker : usable_[step.job->queue.service]) {
        const auto &id = worker->entry.id;
        const auto &label = step.spec().requiredLabel;
        if (advice.denied.contains(id) || (!label.empty() && !worker->entry.hasLabel(label))
            || !claim.need.fitsIn(worker->entry.capacity)) {
            continue;
        }
        const bool hasRoom = claim.need.fitsIn(freeFor(step, *worker)) || isReclaimable(step, id);
        const auto known = advice.allowed.find(id);
        const bool isPermitted = known != advice.allowed.end() && known->second.expiresAt > now;
        if (!isPermitted || isWhole) {
            (hasRoom ? withRoom : others).push_back(worker);
        }
    }
    if (advice.isAsked && !planRoom(step, withRoom, taskCount, isWhole)) {
        return {};
    }
    const auto isKnown = [&](const WorkerState *worker) { return advice.allowed.contains(worker->entry.id); };
    const auto byUse = [&](const WorkerState *left, const WorkerState *right) {
        const auto rank = [&](const WorkerState *worker) {
            return std::pair(!isKnown(worker), dominantShare(worker->used, worker->entry.capacity));
        };
        return rank(left) < rank(right);
    };
    std::sort(withRoom.begin(), withRoom.end(), byUse);
    withRoom.resize(std::min(withRoom.size(), maxWorkersAsked));
    if (advice.isAsked) {
        std::erase_if(others, [&](const WorkerState *worker) { return !isKnown(worker); });
        others.resize(std::min(others.size(), maxKnownAsked));
    }
    withRoom.insert(withRoom.end(), others.begin(), others.end());
    withRoom.resize(std::min(withRoom.size(), maxWorkersAsked));
    return withRoom;
}

bool TaskPlacer::isReclaimable(StepState &step, const std::string &worker)
{
    const auto claim = JobBook::claimOf(step);
    auto &rooms = roomsOf(step.job->queue.service);
    const auto room = rooms.find(worker);
    return room != rooms.end() && room->second.claimedBy >= claim.priority
           && claim.need.fitsIn(room->second.reclaimableFor(claim.priority));
}

bool TaskPlacer::planRoom(StepState &step, const std::vector<WorkerState *> &workers, int taskCount, bool isWhole)
{
    const auto need = JobBook::claimOf(step).need;
    auto &planned = step.advice.planned;
    planned.clear();
    int placed = 0;
    for (auto *worker : workers) {
        auto free = freeFor(step, *worker);
        while (placed < taskCount && need.fitsIn(free)) {
            free -= need;
            ++planned[worker->entry.id];
            ++placed;
        }
    }
    const bool isEnough = isWhole ? placed == taskCount : placed > 0;
    if (!isEnough) {
        planned.clear();
        // Room that is taken from less urgent work is not held: it is claimed when the permits are here.
        return !isWhole && !workers.empty();
    }
    return true;
}

void TaskPlacer::askAdvice(StepState &step, int taskCount, bool isWhole)
{
    auto &advice = step.advice;
    if (advice.isAsking || timers_.now() < advice.askAgainAt) {
        return;
    }
    const auto chosen = workersToAsk(step, taskCount, isWhole);
    if (chosen.empty()) {
        return;
    }
    AdviceQuestion question;
    question.step = { step.job->spec.id, step.occurrence, step.index, 0 };
    for (const auto *worker : chosen) {
        question.workers.push_back(worker->entry.id);
    }
    if (!advice.isAsked) {
        planRoom(step, chosen, taskCount, isWhole);
    }
    holdRooms(step);
    question.expected = expectedTime(*step.job->queue.advice, question.workers.size());
    question.timeout = adviceTimeout;
    question.priority = step.job->queue.priority;
    advice.isAsking = true;
    advice.isAsked = true;
    advisor_.ask(question, [this, isAlive = isAlive_, question](const AdviceResult &result) {
        if (*isAlive) {
            onAdvice(question.step, question.workers, result);
        }
    });
}

void TaskPlacer::onAdvice(const TaskName &name, const std::vector<std::string> &asked, const AdviceResult &result)
{
    const auto job = book_.jobs().find(name.job);
    auto *step = job == book_.jobs().end() ? nullptr : job->second->step(name.occurrence, name.step);
    if (step == nullptr) {
        return;
    }
    auto &advice = step->advice;
    advice.isAsking = false;
    advice.planned.clear();
    book_.roomChanged();
    if (result.outcome != AdviceResult::Outcome::Answered) {
        advice.askAgainAt = timers_.now() + adviceRetry;
        return;
    }
    const auto &policy = job->second->queue.advice;
    const auto validity = result.validity > Milliseconds(0) || !policy ? result.validity : policy->permitValidity;
    advice.denied.insert(asked.begin(), asked.end());
    for (const auto &permit : result.permits) {
        advice.denied.erase(permit.worker);
        if (const auto *worker = fleet_.worker(permit.worker)) {
            advice.allowed[permit.worker] = { permit.ticket, timers_.now() + validity - permitMargin, worker->entry.bornAt };
        }
    }
    EventLog::routine(
        "advice", { { "job", name.job }, { "step", name.step }, { "asked", asked.size() }, { "allowed", result.permits.size() } });
    beginRound();
    if (!mayStart(*job->second) || !job->second->occurrences.at(name.occurrence).isReady(*step)) {
        return;
    }
    if (!step->spec().isGang) {
        placeTasks(*step);
    } else if (!step->isDone() && !step->hasRuns()) {
        placeGang(*step);
    }
}

} // namespace auburndoor
