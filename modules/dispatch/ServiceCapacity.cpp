#include "dispatch/ServiceCapacity.h"

#include <algorithm>
#include <utility>

namespace auburndoor {

namespace {

void raiseTo(Resources &bound, const Resources &amount)
{
    bound.milliCores = std::max(bound.milliCores, amount.milliCores);
    bound.memoryMiB = std::max(bound.memoryMiB, amount.memoryMiB);
    bound.accelerators = std::max(bound.accelerators, amount.accelerators);
}

} // namespace

void ServiceRooms::add(WorkerState &worker)
{
    auto &room = rooms_.emplace_back();
    room.worker = &worker;
    raiseTo(largestFree_, worker.free());
}

WorkerRoom *ServiceRooms::find(const std::string &worker)
{
    const auto found = std::lower_bound(rooms_.begin(), rooms_.end(), worker, [](const WorkerRoom &room, const std::string &id) {
        return room.worker->entry.id < id;
    });
    return found == rooms_.end() || found->worker->entry.id != worker ? nullptr : &*found;
}

void ServiceRooms::collectReclaimable(const CanWait &canWait)
{
    if (std::exchange(isCollected_, true)) {
        return;
    }
    for (auto &room : rooms_) {
        room.collectRuns();
        for (auto &run : room.reclaimable) {
            run.canWait = canWait(room.worker->entry.id, run.key);
        }
    }
}

bool ServiceRooms::mayHaveReclaimable(const Resources &need, int priority)
{
    const auto [found, isNew] = largestReclaimable_.try_emplace(priority);
    if (isNew) {
        for (const auto &room : rooms_) {
            if (room.isFreeing || room.hasReclaimable(priority)) {
                raiseTo(found->second, room.reclaimableFor(priority));
            }
        }
    }
    return need.fitsIn(found->second);
}

} // namespace auburndoor
