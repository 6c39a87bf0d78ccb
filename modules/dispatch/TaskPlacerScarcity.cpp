#include "dispatch/StepOrder.h"
#include "dispatch/TaskPlacer.h"
#include "observability/EventLog.h"

#include <algorithm>

namespace auburndoor {

namespace {

// A task that was stopped for more urgent work starts again after this time at the latest, also while such work waits.
constexpr Milliseconds maxHoldBack { 1000 };
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

void TaskPlacer::followDemand(StepState &step)
{
    const auto need = JobManager::makeClaim(step).need;
    if (!getServiceCapacity(step).mayHold(need)) {
        return;
    }
    // Tasks beyond the account's limit are not short of room, nor are those of other steps that use up the limit.
    auto &promised = promisedByAccount_[step.job->spec.account];
    const auto waitingTasks = quotas_.countStartable(step, isReadingAll_ ? countIdleTasks(step) : 1, now_, promised);
    if (waitingTasks <= 0) {
        return;
    }
    noteDemand(step, now_, scarcityOf(step));
    if (isReadingAll_) {
        promised += step.spec().need * waitingTasks;
        const bool hasRoom = getServiceCapacity(step).mayHaveFree(need);
        addWaitingTasks(step, need * waitingTasks, hasRoom, now_, scarcityReadings_[step.job->queue.service]);
    }
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
    promisedByAccount_.clear();
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
    return readySteps_.setRank(entry, rank);
}

} // namespace auburndoor
