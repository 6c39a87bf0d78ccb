#include "dispatch/TaskPlacer.h"
#include "observability/EventLog.h"

#include <algorithm>
#include <set>

namespace auburndoor {

namespace {

// Room that is held stands empty, so a hold is the last resort against starvation.
constexpr Milliseconds minWaitBeforeHold { 10000 };
constexpr Milliseconds maxHoldDuration { 3000 };
// Time until the next search for a hold after one that has found too few workers.
constexpr Milliseconds holdSearchDelay { 1000 };

} // namespace

std::vector<TaskPlacer::Candidate *> TaskPlacer::fitGang(StepState &step,
                                                         std::vector<Candidate> &candidates,
                                                         const std::string &rack) const
{
    std::vector<Candidate *> chosen;
    const auto need = JobManager::makeClaim(step).need;
    for (const auto &task : step.tasks) {
        auto *candidate = chooseCandidate(step, task, candidates, rack);
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
    auto candidates = findCandidates(step);
    std::vector<Candidate *> chosen;
    if (step.spec().prefersOneRack) {
        std::set<std::string> racks;
        for (const auto &candidate : candidates) {
            racks.insert(candidate.workerCapacity->worker->entry.rack());
        }
        for (auto rack = racks.begin(); rack != racks.end() && chosen.empty(); ++rack) {
            chosen = fitGang(step, candidates, *rack);
        }
    }
    if (chosen.empty()) {
        chosen = fitGang(step, candidates, {});
    }
    const bool isNewlyExhausted = noteSearch(step, !chosen.empty());
    if (chosen.empty()) {
        step.search.gangSearchAt = now_ + computeSearchDelay(step, gangSearchDelay);
        const auto members = static_cast<int>(step.tasks.size());
        if (isNewlyExhausted && preemptForTasks(step, members, true) > 0) {
            return;
        }
        if (step.job->queue.advice) {
            requestAdvice(step, members, true);
        }
        holdForGang(step);
        return;
    }
    if (!fleet_.maySendStart() || quotas_.isAtLimit(step, now_)) {
        return;
    }
    // All members start with the same attempt number and checkpoint.
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

void TaskPlacer::reserveHeldCapacity(StepState &step)
{
    auto &members = step.hold.members;
    if (members.empty()) {
        return;
    }
    if (step.hold.endsAt <= now_ || step.hasRuns() || step.isDone()) {
        members.clear();
        return;
    }
    servicesWithHold_.insert(step.job->queue.service);
    if (!step.advice.plannedTasks.empty()) {
        return;
    }
    for (const auto &[id, count] : members) {
        reserveOnWorker(step, id, count);
    }
}

void TaskPlacer::holdForGang(StepState &step)
{
    if (servicesWithHold_.contains(step.job->queue.service) || now_ < step.hold.mayRepeatAt
        || now_ - step.readySince < minWaitBeforeHold) {
        return;
    }
    auto &serviceCapacity = getServiceCapacity(step);
    const auto &label = step.spec().requiredLabel;
    std::vector<WorkerCapacity *> usable;
    for (auto &workerCapacity : serviceCapacity.workerCapacities()) {
        if (!workerCapacity.isUsable) {
            continue;
        }
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
        step.hold.mayRepeatAt = now_ + holdSearchDelay;
        return;
    }
    EventLog::writeRateLimited("gang.held",
                               { { "job", step.job->spec.id },
                                 { "step", step.index },
                                 { "workers", members.size() },
                                 { "waited_ms", std::chrono::duration_cast<Milliseconds>(now_ - step.readySince).count() } });
    step.hold = { std::move(members), now_ + maxHoldDuration, now_ + 2 * maxHoldDuration };
    reserveCapacity(step);
}

} // namespace auburndoor
