#include "dispatch/TaskPlacer.h"
#include "observability/EventLog.h"

#include <algorithm>
#include <limits>

namespace auburndoor {

namespace {

// What a preempted run loses until it runs again: the stop, the advice and the wait for room.
constexpr Milliseconds preemptionDelay { 2500 };

} // namespace

bool TaskPlacer::canWait(const std::string &worker, const RunKey &key)
{
    const auto job = jobManager_.jobs().find(key.task.job);
    const auto *run = fleet_.run(worker, key);
    if (job == jobManager_.jobs().end() || run == nullptr) {
        return true;
    }
    const auto now = timers_.now();
    const auto &spec = job->second->spec.steps[static_cast<std::size_t>(key.task.step)];
    const auto remaining = spec.estimate * (100 - run->percent) / 100;
    // Past its objective a job still counts as late until it is lost; what is lost can wait for ever.
    const auto limit = now < job->second->objective ? job->second->objective : lostAt(*job->second);
    return now > limit || limit - now - remaining > preemptionDelay;
}

bool TaskPlacer::mayReclaim(StepState &step)
{
    auto &service = roomsOf(step);
    service.collectReclaimable([this](const std::string &worker, const RunKey &key) { return canWait(worker, key); });
    return service.mayHaveReclaimable(JobManager::claimOf(step).need, step.job->queue.priority);
}

bool TaskPlacer::isReclaimable(const StepState &step, const WorkerRoom &room) const
{
    const auto priority = step.job->queue.priority;
    return (room.isFreeing || room.hasReclaimable(priority)) && room.claimedBy >= priority
           && JobManager::claimOf(step).need.fitsIn(room.reclaimableFor(priority));
}

std::vector<WorkerRoom *> TaskPlacer::reclaimableRooms(StepState &step)
{
    std::vector<WorkerRoom *> rooms;
    auto &service = roomsOf(step);
    const auto &label = step.spec().requiredLabel;
    const auto addRoom = [&](WorkerRoom &room) {
        if (isReclaimable(step, room) && (label.empty() || room.worker->entry.hasLabel(label))) {
            rooms.push_back(&room);
        }
    };
    if (!step.job->queue.advice) {
        std::for_each(service.rooms().begin(), service.rooms().end(), addRoom);
        return rooms;
    }
    const auto now = timers_.now();
    for (const auto &[id, permit] : step.advice.allowed) {
        if (auto *room = permit.expiresAt > now ? service.find(id) : nullptr) {
            addRoom(*room);
        }
    }
    return rooms;
}

WorkerRoom *TaskPlacer::chooseReclaimable(const StepState &step, const std::vector<WorkerRoom *> &rooms) const
{
    const auto need = JobManager::claimOf(step).need;
    WorkerRoom *best = nullptr;
    double bestMissing = std::numeric_limits<double>::max();
    for (auto *room : rooms) {
        // The worker that has to stop least.
        const auto missing = dominantShare(need - room->expected, room->worker->entry.capacity);
        if (missing < bestMissing && isReclaimable(step, *room)) {
            bestMissing = missing;
            best = room;
        }
    }
    return best;
}

int TaskPlacer::reclaim(StepState &step, int taskCount, bool isWhole)
{
    if (!mayReclaim(step)) {
        return 0;
    }
    const auto rooms = reclaimableRooms(step);
    std::map<WorkerRoom *, WorkerRoom> unplanned;
    std::vector<std::pair<std::string, RunKey>> stops;
    const auto need = JobManager::claimOf(step).need;
    int planned = 0;
    for (; planned < taskCount; ++planned) {
        auto *room = chooseReclaimable(step, rooms);
        if (room == nullptr) {
            if (isWhole) {
                for (const auto &[changed, before] : unplanned) {
                    *changed = before;
                }
                return 0;
            }
            break;
        }
        if (isWhole) {
            unplanned.try_emplace(room, *room);
        }
        for (const auto &key : room->plan(need, step.job->queue.priority)) {
            stops.emplace_back(room->worker->entry.id, key);
        }
    }
    preempt(step, stops);
    return planned;
}

void TaskPlacer::reclaimPlanned(StepState &step)
{
    std::vector<std::pair<std::string, RunKey>> stops;
    const auto need = JobManager::claimOf(step).need;
    for (const auto &[id, count] : step.advice.planned) {
        auto *room = roomsOf(step).find(id);
        for (int task = 0; room != nullptr && task < count; ++task) {
            for (const auto &key : room->plan(need, step.job->queue.priority)) {
                stops.emplace_back(id, key);
            }
        }
    }
    preempt(step, stops);
}

void TaskPlacer::preempt(const StepState &step, const std::vector<std::pair<std::string, RunKey>> &stops)
{
    for (const auto &[id, key] : stops) {
        EventLog::writeRateLimited(
            "run.preempted",
            { { "job", key.task.job }, { "index", key.task.index }, { "worker", id }, { "for", step.job->spec.id } });
        fleet_.stop(id, key, "preempted");
    }
}

} // namespace auburndoor
