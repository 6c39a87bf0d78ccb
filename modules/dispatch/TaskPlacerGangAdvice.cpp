#include "dispatch/TaskPlacer.h"

#include <algorithm>
#include <cmath>

namespace auburndoor {

namespace {

// The requests of a gang name this many times the workers that are expected to suffice.
constexpr double gangRequestMargin = 1.3;
// Three requests that are answered together: more would keep too many processes from asking for other steps.
constexpr std::size_t maxWorkersForRoom = 90;
// A plan that holds less often than this keeps more work out than it lets in.
constexpr double minChanceOfPlan = 0.5;

} // namespace

int TaskPlacer::countTasksThatFit(const StepState &step, const WorkerCapacity &workerCapacity)
{
    const auto need = JobManager::makeClaim(step).need;
    const auto &entry = workerCapacity.worker->entry;
    auto available = entry.capacity;
    const int maxTasks = countTasksLeft(step, entry.id, countRunsByWorker(step));
    int count = 0;
    while (count < maxTasks && need.fitsIn(available)) {
        available -= need;
        ++count;
    }
    return count;
}

int TaskPlacer::countTasksWithRoom(const StepState &step, const WorkerCapacity &workerCapacity)
{
    const auto need = JobManager::makeClaim(step).need;
    auto available = workerCapacity.freeFor(&step, step.job->queue.priority);
    const int maxTasks = countTasksLeft(step, workerCapacity.id, countRunsByWorker(step));
    int count = 0;
    for (; count < maxTasks && need.fitsIn(available); ++count) {
        available -= need;
    }
    return count;
}

std::size_t TaskPlacer::estimateWorkersToAsk(const StepState &step,
                                             const std::vector<WorkerCapacity *> &allowed,
                                             const std::vector<WorkerCapacity *> &unknown,
                                             int taskCount) const
{
    double missingTasks = taskCount;
    for (auto next = allowed.begin(); next != allowed.end() && missingTasks > 0; ++next) {
        missingTasks -= countTasksThatFit(step, **next);
    }
    missingTasks *= gangRequestMargin / adviceShares_.allowedShare(step.job->queue.name);
    double missingRoom = missingTasks;
    std::size_t count = 0;
    while (count < unknown.size() && missingTasks > 0) {
        missingTasks -= countTasksThatFit(step, *unknown[count]);
        ++count;
    }
    // Of the workers that are large enough, those with room now come first. If these do not suffice, the answers about others tell
    // early which of the workers that become free the gang may use.
    std::size_t countForRoom = 0;
    while (countForRoom < std::min(unknown.size(), maxWorkersForRoom) && missingRoom > 0) {
        missingRoom -= countTasksWithRoom(step, *unknown[countForRoom]);
        ++countForRoom;
    }
    return std::max({ count, countForRoom, maxWorkersPerRequest });
}

bool TaskPlacer::mayPlanBeforeAnswer(const StepState &step, const std::vector<WorkerCapacity *> &targets, int taskCount) const
{
    int workers = 0;
    for (auto next = targets.begin(); next != targets.end() && taskCount > 0; ++next) {
        const int tasks = countTasksWithRoom(step, **next);
        taskCount -= tasks;
        workers += tasks > 0 ? 1 : 0;
    }
    return std::pow(adviceShares_.allowedShare(step.job->queue.name), workers) >= minChanceOfPlan;
}

} // namespace auburndoor
