#include "dispatch/RoomPlan.h"

#include <algorithm>
#include <tuple>

namespace auburndoor {

int WorkerRoom::leastUrgent() const
{
    int result = -1;
    for (const auto &run : reclaimable) {
        result = std::max(result, run.priority);
    }
    return result;
}

Resources WorkerRoom::reclaimableFor(int priority) const
{
    auto result = expected;
    for (const auto &run : reclaimable) {
        if (run.priority > priority) {
            result += run.need;
        }
    }
    return result;
}

std::vector<RunKey> WorkerRoom::plan(const Resources &need, int priority)
{
    std::vector<RunKey> stopped;
    // The least urgent first, and of these the one that frees most, so that few are disturbed.
    std::stable_sort(reclaimable.begin(), reclaimable.end(), [](const ReclaimableRun &left, const ReclaimableRun &right) {
        return std::tuple(left.priority, left.need.accelerators, left.need.milliCores)
               > std::tuple(right.priority, right.need.accelerators, right.need.milliCores);
    });
    while (!need.fitsIn(expected) && !reclaimable.empty() && reclaimable.front().priority > priority) {
        expected += reclaimable.front().need;
        stopped.push_back(reclaimable.front().key);
        reclaimable.erase(reclaimable.begin());
    }
    expected -= need;
    claimedBy = std::min(claimedBy, priority);
    return stopped;
}

std::map<std::string, WorkerRoom> collectRooms(const Fleet &fleet)
{
    std::map<std::string, WorkerRoom> rooms;
    for (const auto &[id, worker] : fleet.workers()) {
        auto &room = rooms[id];
        room.expected = worker->free();
        for (const auto &[key, run] : worker->runs) {
            if (run.phase == Run::Phase::Stopping) {
                room.expected += run.claim.need;
                room.isFreeing = true;
            } else if (run.phase == Run::Phase::Running && run.claim.isPreemptible) {
                room.reclaimable.push_back({ key, run.claim.need, run.claim.priority });
            }
        }
    }
    return rooms;
}

} // namespace auburndoor
