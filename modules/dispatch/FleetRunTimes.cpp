#include "dispatch/FleetImpl.h"

#include <algorithm>

namespace auburndoor {

void Fleet::Impl::reportRunTime(const WorkerState &worker, const EndedTask &ended)
{
    const auto *run = findRun(worker.entry.id, { ended.task, ended.attempt });
    if (run == nullptr || ended.end != RunOutcome::Done || !run->isMeasurable || run->confirmedAt == TimePoint()) {
        return;
    }
    // A report that was away for longer than a poll takes tells of the link rather than of the run.
    if (worker.lastReportAt - std::max(worker.previousReportAt, run->confirmedAt) > timing.pollWait * 3 / 2) {
        return;
    }
    listener.runMeasured(worker.entry.id, *run, std::chrono::duration_cast<Milliseconds>(worker.lastReportAt - run->confirmedAt));
}

} // namespace auburndoor
