#include "dispatch/StepOrder.h"
#include "dispatch/TaskPlacer.h"
#include "observability/EventLog.h"

#include <algorithm>

namespace auburndoor {

namespace {

// A task that was stopped for more urgent work starts again after this time at the latest, also while such work waits.
constexpr Milliseconds maxHoldBack { 1000 };
// While some worker is less used, the room of its service may be taken by other work than the waiting one.
constexpr double minUtilizationOfFull = 0.5;
constexpr std::int64_t milliCoresOfCore = 1000;

} // namespace

ScarcityOrder &TaskPlacer::scarcityOf(const StepState &step)
{
    return scarcityByService_[step.job->queue.service];
}

StepRank TaskPlacer::computeRank(const StepState &step)
{
    return rankStep(step, now_, scarcityOf(step));
}

void TaskPlacer::followDemand(StepState &step, const StepRank &rank)
{
    // Tasks beyond the account's limit are not short of room.
    const auto waitingTasks = countStartable(step, isReadingAll_ ? countIdleTasks(step) : 1);
    if (waitingTasks <= 0) {
        return;
    }
    noteDemand(step, now_, scarcityOf(step));
    if (isReadingAll_) {
        const auto need = JobManager::makeClaim(step).need;
        const bool hasRoom = getServiceCapacity(step).mayHaveFree(need);
        const auto &service = step.job->queue.service;
        addWaitingTasks(step, need * waitingTasks, hasRoom, now_, scarcityReadings_[service]);
        if (!rank.isLost && isFull(service)) {
            const auto capacity = workOf(getServiceCapacity(service).totalCapacity(), Milliseconds(1));
            const auto outlook = outlooks_.try_emplace(service, capacity).first;
            outlook->second.add({ rank.priority, rank.scarcityKey, slackLeft(step, now_), workOfTask(step.spec()) * waitingTasks });
        }
    }
}

bool TaskPlacer::isFull(const std::string &service)
{
    const auto &capacity = getServiceCapacity(service);
    return scarcityByService_[service].isScarce() && capacity.lowestUtilization() >= minUtilizationOfFull
           && !hasUnreadWorkers(service);
}

std::optional<Milliseconds> TaskPlacer::findEarliestEnd(const std::vector<StepSpec> &steps,
                                                        const QueueSpec &queue,
                                                        Milliseconds allowed)
{
    const auto outlook = outlooks_.find(queue.service);
    if (outlook == outlooks_.end()) {
        return std::nullopt;
    }
    WorkAmount work = 0;
    for (const auto &step : steps) {
        const auto isUsable = [](const WorkerCapacity &workerCapacity) { return workerCapacity.isUsable; };
        const bool hasRoom = !getServiceCapacity(queue.service).findLeastUtilized(step.need, 1, isUsable).empty();
        if (step.isService || step.fillsIdleCapacity || hasRoom) {
            return std::nullopt;
        }
        work += workOfTask(step) * step.taskCount;
    }
    const auto smallestKey = scarcityByService_[queue.service].keyOf(queue.name, { work, work, Milliseconds(0), Milliseconds(1) });
    return outlook->second.earliestEnd(queue.priority, smallestKey, allowed);
}

void TaskPlacer::updateScarcity()
{
    for (auto &[service, serviceCapacity] : serviceCapacities_) {
        auto &reading = scarcityReadings_[service];
        reading.free = serviceCapacity.totalFree();
        reading.capacity = serviceCapacity.totalCapacity();
        auto &scarcity = scarcityByService_[service];
        const bool wasScarce = scarcity.isScarce();
        scarcity.update(now_, reading);
        if (scarcity.isScarce() != wasScarce) {
            EventLog::writeRateLimited(wasScarce ? "room.sufficient" : "room.scarce",
                                       { { "service", service },
                                         { "waiting_cores", reading.waiting.milliCores / milliCoresOfCore },
                                         { "waiting_accelerators", reading.waiting.accelerators },
                                         { "free_cores", reading.free.milliCores / milliCoresOfCore },
                                         { "free_accelerators", reading.free.accelerators } });
        }
    }
    scarcityReadings_.clear();
}

bool TaskPlacer::isHeldBack(const StepState &step, const Task &task)
{
    return task.preemptionCount > 0 && now_ < task.idleSince + maxHoldBack
           && scarcityOf(step).isMoreUrgentWaiting(step.job->queue.priority);
}

void TaskPlacer::noteWork(const StepState &step, bool isStart)
{
    const auto work = workOfTask(step.spec());
    const auto priority = step.job->queue.priority;
    if (isStart) {
        statistics_.guaranteedStarts += scarcityOf(step).isOwed(priority) ? 1 : 0;
        scarcityOf(step).noteStart(priority, work, workOf(step.spec().need, Milliseconds(1)), now_);
    } else {
        scarcityOf(step).noteStop(priority, work, now_);
    }
}

bool TaskPlacer::willHaveRoom(const StepState &step)
{
    const auto room = workOf(step.spec().need, Milliseconds(1)) * countIdleTasks(step);
    // A gang needs its room on several workers at one time, and work with permits on few workers.
    return !step.isRepair() && !step.spec().isService && !step.spec().isGang && !step.job->queue.advice
           && scarcityOf(step).willHaveRoom(step.job->queue.priority, room, slackLeft(step, now_));
}

std::optional<ReadySteps::Entries::iterator> TaskPlacer::demote(ReadySteps::Entries::iterator entry)
{
    auto &step = *entry->second;
    if (!entry->first.isOwed || scarcityOf(step).isOwed(step.job->queue.priority)) {
        return std::nullopt;
    }
    auto rank = computeRank(step);
    rank.isAboveShare = entry->first.isAboveShare;
    const auto following = readySteps_.erase(entry);
    readySteps_.insert(rank, step);
    return following;
}

} // namespace auburndoor
