#include "dispatch/WorkerCapacity.h"

#include <algorithm>
#include <tuple>

namespace auburndoor {

namespace {

bool mayReclaim(const ReclaimableRun &run, int priority)
{
    return run.priority > priority && (run.canWait || priority == 0);
}

} // namespace

Resources WorkerRoom::freeFor(const void *step, int priority) const
{
    if (claimedBy < priority) {
        return { -1, -1, -1, 0, 0 };
    }
    auto free = worker->free();
    for (const auto &hold : holds) {
        if (hold.step != step && hold.priority <= priority) {
            free -= hold.need;
        }
    }
    return free;
}

void WorkerRoom::collectRuns()
{
    expected = worker->free();
    for (const auto &[key, run] : worker->runs) {
        if (run.phase == Run::Phase::Stopping) {
            expected += run.claim.need;
            isFreeing = true;
        } else if (run.phase == Run::Phase::Running && run.claim.isPreemptible) {
            reclaimable.push_back({ key, run.claim.need, run.claim.priority, true });
        }
    }
}

bool WorkerRoom::hasReclaimable(int priority) const
{
    return std::any_of(reclaimable.begin(), reclaimable.end(), [priority](const auto &run) { return mayReclaim(run, priority); });
}

Resources WorkerRoom::reclaimableFor(int priority) const
{
    auto result = expected;
    for (const auto &run : reclaimable) {
        if (mayReclaim(run, priority)) {
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
    for (auto run = reclaimable.begin(); run != reclaimable.end() && !need.fitsIn(expected);) {
        if (!mayReclaim(*run, priority)) {
            ++run;
            continue;
        }
        expected += run->need;
        stopped.push_back(run->key);
        run = reclaimable.erase(run);
    }
    expected -= need;
    claimedBy = std::min(claimedBy, priority);
    return stopped;
}

} // namespace auburndoor
