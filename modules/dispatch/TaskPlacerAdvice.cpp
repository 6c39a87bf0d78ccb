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
        auto *room = roomsOf(step).find(id);
        if (room == nullptr) {
            continue;
        }
        const auto need = JobBook::claimOf(step).need;
        for (int task = 0; task < count; ++task) {
            room->holds.push_back({ &step, step.job->queue.priority, need });
        }
    }
}

std::vector<WorkerRoom *> TaskPlacer::workersToAsk(StepState &step, int taskCount, bool isWhole)
{
    auto &advice = step.advice;
    const auto claim = JobBook::claimOf(step);
    const auto now = timers_.now();
    const bool hasReclaimable = mayReclaim(step);
    if (advice.isAsked && !hasReclaimable && !roomsOf(step).mayHaveFree(claim.need)) {
        return {};
    }
    std::vector<WorkerRoom *> withRoom;
    std::vector<WorkerRoom *> others;
    const auto &label = step.spec().requiredLabel;
    for (auto &room : roomsOf(step).rooms()) {
        const auto &entry = room.worker->entry;
        if (!claim.need.fitsIn(entry.capacity) || (!label.empty() && !entry.hasLabel(label)) || advice.denied.contains(entry.id)) {
            continue;
        }
        const auto known = advice.allowed.find(entry.id);
        const bool isPermitted = known != advice.allowed.end() && known->second.expiresAt > now;
        if (!isPermitted || isWhole) {
            const bool hasRoom = claim.need.fitsIn(room.freeFor(&step, claim.priority))
                                 || (hasReclaimable && isReclaimable(step, room));
            (hasRoom ? withRoom : others).push_back(&room);
        }
    }
    if (advice.isAsked && !planRoom(step, withRoom, taskCount, isWhole)) {
        return {};
    }
    chooseAsked(advice, withRoom, others);
    return withRoom;
}

void TaskPlacer::chooseAsked(const StepAdvice &advice, std::vector<WorkerRoom *> &withRoom, std::vector<WorkerRoom *> &others)
{
    const auto isKnown = [&](const WorkerRoom *room) { return advice.allowed.contains(room->worker->entry.id); };
    std::vector<std::pair<std::pair<bool, double>, WorkerRoom *>> ranked;
    ranked.reserve(withRoom.size());
    for (auto *room : withRoom) {
        ranked.push_back({ { !isKnown(room), dominantShare(room->worker->used, room->worker->entry.capacity) }, room });
    }
    std::stable_sort(ranked.begin(), ranked.end(), [](const auto &left, const auto &right) { return left.first < right.first; });
    withRoom.clear();
    for (const auto &[rank, room] : ranked) {
        withRoom.push_back(room);
    }
    withRoom.resize(std::min(withRoom.size(), maxWorkersAsked));
    if (advice.isAsked) {
        std::erase_if(others, [&](const WorkerRoom *room) { return !isKnown(room); });
        others.resize(std::min(others.size(), maxKnownAsked));
    }
    withRoom.insert(withRoom.end(), others.begin(), others.end());
    withRoom.resize(std::min(withRoom.size(), maxWorkersAsked));
}

bool TaskPlacer::planRoom(StepState &step, const std::vector<WorkerRoom *> &rooms, int taskCount, bool isWhole)
{
    const auto need = JobBook::claimOf(step).need;
    auto &planned = step.advice.planned;
    planned.clear();
    int placed = 0;
    for (const auto *room : rooms) {
        auto free = room->freeFor(&step, step.job->queue.priority);
        while (placed < taskCount && need.fitsIn(free)) {
            free -= need;
            ++planned[room->worker->entry.id];
            ++placed;
        }
    }
    const bool isEnough = isWhole ? placed == taskCount : placed > 0;
    if (!isEnough) {
        planned.clear();
        // Room that is taken from less urgent work is not held: it is claimed when the permits are here.
        return !isWhole && !rooms.empty();
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
    for (const auto *room : chosen) {
        question.workers.push_back(room->worker->entry.id);
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
}

} // namespace auburndoor
