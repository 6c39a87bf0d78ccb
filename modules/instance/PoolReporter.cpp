#include "instance/PoolReporter.h"

#include "admission/ShareAccounts.h"
#include "configuration/ConfigurationManager.h"
#include "fleet/OwnedWorkerService.h"
#include "fleet/PoolInventory.h"
#include "fleet/WorkerManager.h"
#include "membership/MembershipView.h"
#include "observability/Metrics.h"
#include "pipeline/ServiceQueues.h"
#include "placement/CapacityLedger.h"

namespace auburndoor {

namespace {

/** The shortest time between two reports. Below the shortest interval of heartbeats after a change, so that the report does not
 * make the pool summaries in them older than necessary. */
constexpr Milliseconds minReportInterval { 20 };
/** After minReportInterval, the longest wait for a change before the next report. */
constexpr Milliseconds maxReportInterval { 1000 };
constexpr Milliseconds inventoryPeriod { 1000 };

} // namespace

PoolReporter::PoolReporter(const PoolReporterDependencies &dependencies) : dependencies_(dependencies)
{
}

PoolReporter::~PoolReporter()
{
    stop();
}

void PoolReporter::start()
{
    thread_ = std::thread([this] { run(); });
}

void PoolReporter::stop()
{
    {
        const std::lock_guard lock(mutex_);
        isStopping_ = true;
    }
    condition_.notify_all();
    if (thread_.joinable()) {
        thread_.join();
    }
}

void PoolReporter::requestReport()
{
    {
        const std::lock_guard lock(mutex_);
        if (isChanged_) {
            return;
        }
        isChanged_ = true;
    }
    condition_.notify_all();
}

void PoolReporter::run()
{
    std::unique_lock lock(mutex_);
    while (!isStopping_) {
        isChanged_ = false;
        lock.unlock();
        report();
        lock.lock();
        dependencies_.clock.waitUntil(
            lock, condition_, dependencies_.clock.now() + minReportInterval, [this] { return isStopping_; });
        dependencies_.clock.waitUntil(
            lock, condition_, dependencies_.clock.now() + maxReportInterval, [this] { return isStopping_ || isChanged_; });
    }
}

void PoolReporter::report()
{
    const auto now = dependencies_.clock.now();
    if (now - lastInventoryUpdate_ >= inventoryPeriod) {
        lastInventoryUpdate_ = now;
        updateInventory();
        dependencies_.ownedWorkers.releaseLapsedHolds();
    }
    updateShares();
    updatePoolSummaries();
}

void PoolReporter::updatePoolSummaries()
{
    std::vector<PoolSummary> pools;
    const auto configuration = dependencies_.configuration.current();
    for (const auto &[id, service] : configuration->declaration.services) {
        const PlacementNeed need { id, service.need, false, 0, {} };
        const auto freePlaces = dependencies_.ledger.freePlaces(need);
        const auto queued = static_cast<int>(dependencies_.queues.queued(id));
        dependencies_.metrics.setGauge("free_places", freePlaces, "service=" + id.text());
        dependencies_.metrics.setGauge("queued_requests", queued, "service=" + id.text());
        if (freePlaces > 0 || queued > 0) {
            pools.push_back({ id, freePlaces, queued, dependencies_.ledger.partialPlaces(need) });
        }
    }
    dependencies_.members.setPools(pools);
}

void PoolReporter::updateShares()
{
    dependencies_.shares.setCapacity(dependencies_.ledger.ownedCapacity(), dependencies_.workers.roster().cellCapacity());
    dependencies_.shares.setUse(dependencies_.ledger.useByTeam());
}

void PoolReporter::updateInventory()
{
    for (const auto &[id, service] : dependencies_.configuration.current()->declaration.services) {
        dependencies_.inventory.update(id, dependencies_.workers.roster().pool(id));
        OwnedPool owned;
        for (const auto &worker : dependencies_.ledger.workers(id)) {
            owned.slots += worker.view.capacity.slots;
            owned.longTasks += worker.view.longTasks;
        }
        dependencies_.inventory.updateOwned(id, owned);
    }
    dependencies_.metrics.setGauge("workers_unseized", dependencies_.workers.roster().unclaimedCount());
    dependencies_.metrics.setGauge("configuration_version", static_cast<double>(dependencies_.configuration.current()->version));
}

} // namespace auburndoor
