#include "entry/OwnerImpl.h"

#include "observability/Metrics.h"

#include <algorithm>
#include <limits>
#include <map>

namespace auburndoor {

namespace {

// A worker delays its answer to a poll by up to a second, and a failed poll is repeated after a quarter of a second.
constexpr Milliseconds maxAnswerAge { 3000 };
// Relative to the mean of a service.
constexpr double slowSpeed = 0.8;

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

void Owner::Impl::updateSpeedMetrics(Metrics &metrics) const
{
    struct Speeds
    {
        double lowest = std::numeric_limits<double>::max();
        double highest = 0;
        int slow = 0;
    };
    std::map<std::string, Speeds> speedsOfService;
    for (const auto &[id, worker] : fleet.workers()) {
        auto &speeds = speedsOfService[worker->entry.service];
        speeds.lowest = std::min(speeds.lowest, worker->speed);
        speeds.highest = std::max(speeds.highest, worker->speed);
        speeds.slow += worker->speed < slowSpeed ? 1 : 0;
    }
    for (const auto &[service, speeds] : speedsOfService) {
        metrics.setGauge("worker_speed_lowest", speeds.lowest, "service=" + service);
        metrics.setGauge("worker_speed_highest", speeds.highest, "service=" + service);
        metrics.setGauge("workers_slow", speeds.slow, "service=" + service);
    }
    metrics.setGauge("images", static_cast<double>(jobManager.speeds().imageCount()));
    metrics.setGauge("images_learned", static_cast<double>(jobManager.speeds().learnedImageCount()));
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
