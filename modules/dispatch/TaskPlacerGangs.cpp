#include "dispatch/TaskPlacer.h"
#include "observability/EventLog.h"

#include <algorithm>

namespace auburndoor {

namespace {

// Room that is held stands empty, so a hold is the last resort against starvation.
constexpr Milliseconds minWaitBeforeHold { 10000 };
constexpr Milliseconds maxHoldDuration { 3000 };
// Time until the next search after one that has found too few workers.
constexpr Milliseconds holdSearchDelay { 1000 };

} // namespace

void TaskPlacer::reserveHeldCapacity(StepState &step)
{
    auto &members = step.hold.members;
    if (members.empty()) {
        return;
    }
    if (step.hold.endsAt <= timers_.now() || step.hasRuns() || step.isDone()) {
        members.clear();
        return;
    }
    servicesWithHold_.insert(step.job->queue.service);
    if (!step.advice.plannedTasks.empty()) {
        return;
    }
    const auto claim = JobManager::makeClaim(step);
    for (const auto &[id, count] : members) {
        if (auto *workerCapacity = getServiceCapacity(step).find(id)) {
            workerCapacity->reservations.insert(
                workerCapacity->reservations.end(), static_cast<std::size_t>(count), { &step, claim.priority, claim.need });
        }
    }
}

void TaskPlacer::holdForGang(StepState &step)
{
    const auto now = timers_.now();
    if (servicesWithHold_.contains(step.job->queue.service) || now < step.hold.mayRepeatAt
        || now - step.readySince < minWaitBeforeHold) {
        return;
    }
    auto &serviceCapacity = getServiceCapacity(step);
    const auto &label = step.spec().requiredLabel;
    std::vector<WorkerCapacity *> usable;
    for (auto &workerCapacity : serviceCapacity.workerCapacities()) {
        const auto &entry = workerCapacity.worker->entry;
        if ((label.empty() || entry.hasLabel(label)) && (!step.job->queue.advice || step.advice.allowed.contains(entry.id))) {
            usable.push_back(&workerCapacity);
        }
    }
    sortByUtilization(usable);
    std::map<std::string, int> members;
    auto missing = static_cast<int>(step.tasks.size());
    for (auto next = usable.begin(); next != usable.end() && missing > 0; ++next) {
        const auto count = std::min(missing, countTasksThatFit(step, **next));
        if (count > 0) {
            members[(*next)->worker->entry.id] = count;
            missing -= count;
        }
    }
    if (missing > 0) {
        // The search visits each worker of the service, and there is a round of placement every few milliseconds.
        step.hold.mayRepeatAt = now + holdSearchDelay;
        return;
    }
    EventLog::writeRateLimited("gang.held",
                               { { "job", step.job->spec.id },
                                 { "step", step.index },
                                 { "workers", members.size() },
                                 { "waited_ms", std::chrono::duration_cast<Milliseconds>(now - step.readySince).count() } });
    step.hold = { std::move(members), now + maxHoldDuration, now + 2 * maxHoldDuration };
    reserveHeldCapacity(step);
}

} // namespace auburndoor
