#include "entry/OwnerImpl.h"

namespace auburndoor {

namespace {

// A worker delays its answer to a poll by up to a second, and a failed poll is repeated after a quarter of a second.
constexpr Milliseconds maxAnswerAge { 3000 };

} // namespace

OwnershipReport::Workers Owner::Impl::countWorkers() const
{
    const auto now = dependencies.timers.now();
    OwnershipReport::Workers result;
    for (const auto &[id, worker] : fleet.workers()) {
        ++result.total;
        result.answering += worker->failedPolls == 0 && worker->lastReportAt != TimePoint()
                            && now - worker->lastReportAt <= maxAnswerAge;
        if (worker->isReportRead) {
            continue;
        }
        ++result.unread;
        if (result.firstUnread.size() < OwnershipReport::maxListedIds) {
            result.firstUnread.push_back(id);
        }
    }
    return result;
}

void Owner::Impl::reportOwnership()
{
    const auto now = dependencies.timers.now();
    const auto count = [this] { return countWorkers(); };
    ownershipReport.updateConfirmation(now, evidence.storeAge(), commitQueue.stallDuration(), count);
    ownershipReport.updatePermission(evidence.mayStart(), evidence.storeAge(), count);
    ownershipReport.updateWait(now, placer.isWaitingForReports(), fleet.remainingInheritedLease(), count);
}

} // namespace auburndoor
