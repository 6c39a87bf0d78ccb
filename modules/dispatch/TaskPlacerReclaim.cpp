#include "dispatch/TaskPlacer.h"
#include "observability/EventLog.h"

#include <algorithm>
#include <limits>

namespace auburndoor {

namespace {

// What a preempted run loses until it runs again: the stop, the advice and the wait for room.
constexpr Milliseconds preemptionDelay { 2500 };

} // namespace

std::map<std::string, WorkerRoom> &TaskPlacer::roomsOf(const std::string &service)
{
    const auto [found, isNew] = rooms_.try_emplace(service);
    if (isNew) {
        found->second = collectRooms(fleet_, service);
        markUrgentRuns(found->second);
    }
    return found->second;
}

void TaskPlacer::markUrgentRuns(std::map<std::string, WorkerRoom> &rooms)
{
    const auto now = timers_.now();
    for (auto &[id, room] : rooms) {
        for (auto &reclaimable : room.reclaimable) {
            const auto job = book_.jobs().find(reclaimable.key.task.job);
            const auto *run = fleet_.run(id, reclaimable.key);
            if (job == book_.jobs().end() || run == nullptr) {
                continue;
            }
            const auto &spec = job->second->spec.steps[static_cast<std::size_t>(reclaimable.key.task.step)];
            const auto remaining = spec.estimate * (100 - run->percent) / 100;
            // Past its objective a job still counts as late until it is lost; what is lost can wait for ever.
            const auto limit = now < job->second->objective ? job->second->objective : lostAt(*job->second);
            reclaimable.canWait = now > limit || limit - now - remaining > preemptionDelay;
        }
    }
}

std::optional<std::string> TaskPlacer::findReclaimable(StepState &step, const std::map<std::string, WorkerRoom> &rooms)
{
    const auto &spec = step.spec();
    const auto need = JobBook::claimOf(step).need;
    const auto priority = step.job->queue.priority;
    const auto now = timers_.now();
    std::optional<std::string> best;
    double bestFree = -std::numeric_limits<double>::max();
    for (const auto &[id, room] : rooms) {
        const auto *worker = fleet_.worker(id);
        if (worker == nullptr || worker->entry.service != step.job->queue.service || !fleet_.isUsable(*worker)
            || room.claimedBy < priority || !need.fitsIn(room.reclaimableFor(priority))
            || (!spec.requiredLabel.empty() && !worker->entry.hasLabel(spec.requiredLabel))) {
            continue;
        }
        const auto permit = step.advice.allowed.find(id);
        const bool isPermitted = permit != step.advice.allowed.end() && permit->second.expiresAt > now;
        if (step.job->queue.advice && !isPermitted) {
            continue;
        }
        // The worker that has to stop least.
        const auto missing = need - room.expected;
        const double free = -dominantShare(missing, worker->entry.capacity);
        if (free > bestFree) {
            bestFree = free;
            best = id;
        }
    }
    return best;
}

void TaskPlacer::reclaim(StepState &step, int taskCount, bool isWhole)
{
    const auto priority = step.job->queue.priority;
    auto &planned = roomsOf(step.job->queue.service);
    const bool hasReclaimable = std::any_of(
        planned.begin(), planned.end(), [priority](const auto &room) { return room.second.hasReclaimable(priority); });
    const bool hasStopping = std::any_of(planned.begin(), planned.end(), [](const auto &room) { return room.second.isFreeing; });
    if (!hasReclaimable && !hasStopping) {
        return;
    }
    auto rooms = planned;
    std::vector<std::pair<std::string, RunKey>> stops;
    const auto need = JobBook::claimOf(step).need;
    for (int task = 0; task < taskCount; ++task) {
        const auto id = findReclaimable(step, rooms);
        if (!id) {
            if (isWhole) {
                return;
            }
            break;
        }
        for (const auto &key : rooms.at(*id).plan(need, step.job->queue.priority)) {
            stops.emplace_back(*id, key);
        }
    }
    planned = std::move(rooms);
    for (const auto &[id, key] : stops) {
        EventLog::routine("run.preempted",
                          { { "job", key.task.job }, { "index", key.task.index }, { "worker", id }, { "for", step.job->spec.id } });
        fleet_.stop(id, key, "preempted");
    }
}

} // namespace auburndoor
