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

/** Shortest time between two reports: below the floor of the summaries, so that they are never older than needed. */
constexpr Milliseconds reportFloor { 20 };
constexpr Milliseconds reportCeiling { 1000 };
constexpr Milliseconds censusPeriod { 1000 };

} // namespace

PoolReporter::PoolReporter(const PoolReporterParts &parts) : parts_(parts)
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

void PoolReporter::noteChange()
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
        parts_.clock.waitUntil(lock, condition_, parts_.clock.now() + reportFloor, [this] { return isStopping_; });
        parts_.clock.waitUntil(lock, condition_, parts_.clock.now() + reportCeiling, [this] { return isStopping_ || isChanged_; });
    }
}

void PoolReporter::report()
{
    const auto now = parts_.clock.now();
    if (now - lastCensus_ >= censusPeriod) {
        lastCensus_ = now;
        reportCensus();
        parts_.owner.releaseLapsedHolds();
    }
    reportShares();
    reportPools();
}

void PoolReporter::reportPools()
{
    std::vector<PoolSummary> pools;
    const auto configuration = parts_.configuration.current();
    for (const auto &[id, service] : configuration->declaration.services) {
        const PlacementNeed need { id, service.need, false, 0, {} };
        const auto freePlaces = parts_.ledger.freePlaces(need);
        const auto queued = static_cast<int>(parts_.queues.queued(id));
        parts_.metrics.setGauge("free_places", freePlaces, "service=" + id.text());
        parts_.metrics.setGauge("queued_requests", queued, "service=" + id.text());
        if (freePlaces > 0 || queued > 0) {
            pools.push_back({ id, freePlaces, queued, parts_.ledger.partialPlaces(need) });
        }
    }
    parts_.members.setPools(pools);
}

void PoolReporter::reportShares()
{
    parts_.shares.setCapacity(parts_.ledger.ownedCapacity(), parts_.workers.roster().cellCapacity());
    parts_.shares.setUse(parts_.ledger.useByTeam());
}

void PoolReporter::reportCensus()
{
    for (const auto &[id, service] : parts_.configuration.current()->declaration.services) {
        parts_.inventory.update(id, parts_.workers.roster().pool(id));
        OwnedPool owned;
        for (const auto &worker : parts_.ledger.workers(id)) {
            owned.slots += worker.view.capacity.slots;
            owned.longTasks += worker.view.longTasks;
        }
        parts_.inventory.updateOwned(id, owned);
    }
    parts_.metrics.setGauge("workers_unseized", parts_.workers.roster().unclaimedCount());
    parts_.metrics.setGauge("configuration_version", static_cast<double>(parts_.configuration.current()->version));
}

} // namespace auburndoor
