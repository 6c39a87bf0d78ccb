#include "dispatch/TaskPlacer.h"
#include "observability/EventLog.h"

#include <algorithm>

namespace auburndoor {

namespace {

// A permit is not used in its last moments: the order needs a way to the worker.
constexpr Milliseconds permitMargin { 80 };
// The chain of work that an objective is worked out from counts one question on so many workers.
constexpr std::size_t maxWorkersAsked = 30;
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
        const auto need = JobManager::claimOf(step).need;
        for (int task = 0; task < count; ++task) {
            room->holds.push_back({ &step, step.job->queue.priority, need });
        }
    }
}

TaskPlacer::AskableRooms TaskPlacer::askableRooms(StepState &step, bool isWhole)
{
    AskableRooms askable;
    const auto &advice = step.advice;
    const auto claim = JobManager::claimOf(step);
    const auto now = timers_.now();
    const bool hasReclaimable = mayReclaim(step);
    const auto &label = step.spec().requiredLabel;
    for (auto &room : roomsOf(step).rooms()) {
        const auto &entry = room.worker->entry;
        if (!claim.need.fitsIn(entry.capacity) || (!label.empty() && !entry.hasLabel(label)) || advice.denied.contains(entry.id)
            || tasksLeftFor(step, entry.id) <= 0) {
            continue;
        }
        const auto known = advice.allowed.find(entry.id);
        const bool isKnown = known != advice.allowed.end();
        if (isKnown && known->second.expiresAt > now && !isWhole) {
            continue;
        }
        const bool hasRoom = claim.need.fitsIn(room.freeFor(&step, claim.priority))
                             || (hasReclaimable && isReclaimable(step, room));
        if (isKnown) {
            askable.known.push_back(&room);
        } else if (hasRoom) {
            askable.unknownWithRoom.push_back(&room);
        } else {
            askable.unknown.push_back(&room);
        }
    }
    return askable;
}

void TaskPlacer::sortByUse(std::vector<WorkerRoom *> &rooms)
{
    std::vector<std::pair<double, WorkerRoom *>> ranked;
    ranked.reserve(rooms.size());
    for (auto *room : rooms) {
        ranked.emplace_back(dominantShare(room->worker->used, room->worker->entry.capacity), room);
    }
    std::stable_sort(ranked.begin(), ranked.end(), [](const auto &left, const auto &right) { return left.first < right.first; });
    std::transform(ranked.begin(), ranked.end(), rooms.begin(), [](const auto &entry) { return entry.second; });
}

std::vector<WorkerRoom *> TaskPlacer::workersToAsk(StepState &step, int taskCount, bool isWhole)
{
    const bool isFirst = !step.advice.isAsked;
    if (!isFirst && !mayReclaim(step) && !roomsOf(step).mayHaveFree(JobManager::claimOf(step).need)) {
        return {};
    }
    auto askable = askableRooms(step, isWhole);
    if (planRoom(step, askable.known, taskCount, isWhole)) {
        reclaimPlanned(step);
        // The allowed workers of a step never change: these will be permitted again.
        std::erase_if(askable.known,
                      [&step](const WorkerRoom *room) { return !step.advice.planned.contains(room->worker->entry.id); });
        askable.known.resize(std::min(askable.known.size(), maxWorkersAsked));
        return askable.known;
    }
    auto chosen = std::move(askable.unknownWithRoom);
    sortByUse(chosen);
    if (isFirst || isWhole) {
        // A gang needs several workers at the same time: all that may be allowed are to be known.
        sortByUse(askable.unknown);
        chosen.insert(chosen.end(), askable.unknown.begin(), askable.unknown.end());
    }
    chosen.resize(std::min(chosen.size(), maxWorkersAsked));
    if (isFirst || !isWhole) {
        planRoom(step, chosen, taskCount, isWhole);
    }
    return chosen;
}

bool TaskPlacer::planRoom(StepState &step, const std::vector<WorkerRoom *> &rooms, int taskCount, bool isWhole)
{
    const auto need = JobManager::claimOf(step).need;
    const auto priority = step.job->queue.priority;
    auto &planned = step.advice.planned;
    planned.clear();
    int placed = 0;
    const auto planAt = [&](const WorkerRoom &room, Resources available) {
        auto &count = planned[room.worker->entry.id];
        available -= need * count;
        const int most = tasksLeftFor(step, room.worker->entry.id);
        while (placed < taskCount && count < most && need.fitsIn(available)) {
            available -= need;
            ++count;
            ++placed;
        }
    };
    for (const auto *room : rooms) {
        planAt(*room, room->freeFor(&step, priority));
    }
    // Room that is taken from less urgent work is kept from others meanwhile, and claimed when the permits are here.
    for (const auto *room : rooms) {
        if (placed < taskCount && isReclaimable(step, *room)) {
            planAt(*room, room->reclaimableFor(priority));
        }
    }
    std::erase_if(planned, [](const auto &entry) { return entry.second == 0; });
    const bool isEnough = isWhole ? placed == taskCount : placed > 0;
    if (!isEnough) {
        planned.clear();
    }
    return isEnough;
}

void TaskPlacer::askAdvice(StepState &step, int taskCount, bool isWhole)
{
    auto &advice = step.advice;
    if (advice.isAsking || timers_.now() < advice.askAgainAt) {
        return;
    }
    // A question that waits its turn holds room for longer than it is worth, and its answer comes too late: the next round asks by
    // rank.
    const auto &policy = *step.job->queue.advice;
    if (!advisor_.canSendNow(expectedTime(policy, maxWorkersAsked))) {
        return;
    }
    const auto chosen = workersToAsk(step, taskCount, isWhole);
    if (chosen.empty()) {
        return;
    }
    AdviceRequest question;
    question.step = { step.job->spec.id, step.occurrence, step.index, 0 };
    for (const auto *room : chosen) {
        question.workers.push_back(room->worker->entry.id);
    }
    holdRooms(step);
    question.expected = expectedTime(policy, question.workers.size());
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
    const auto job = jobManager_.jobs().find(name.job);
    auto *step = job == jobManager_.jobs().end() ? nullptr : job->second->step(name.occurrence, name.step);
    if (step == nullptr) {
        return;
    }
    auto &advice = step->advice;
    advice.isAsking = false;
    advice.planned.clear();
    jobManager_.roomChanged();
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
            advice.allowed[permit.worker] = { permit.ticket, timers_.now() + validity - permitMargin, worker->entry.incarnation };
        }
    }
    EventLog::writeRateLimited(
        "advice", { { "job", name.job }, { "step", name.step }, { "asked", asked.size() }, { "allowed", result.permits.size() } });
}

} // namespace auburndoor
