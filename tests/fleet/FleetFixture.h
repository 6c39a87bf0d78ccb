#pragma once

#include "core/ManualClock.h"
#include "core/RandomId.h"
#include "fakes/FakeInstanceDirectory.h"
#include "fakes/FakeWorkerConnector.h"
#include "fleet/OwnedWorkerService.h"
#include "fleet/WorkerManager.h"
#include "observability/Metrics.h"
#include "ownership/ShardMap.h"
#include "placement/BestFitPlacer.h"
#include "placement/WorkerHealth.h"

#include <thread>

namespace auburndoor {

/** The fake workers of a cell with one pool, one failure domain and one shard. */
struct FleetFixture
{
    explicit FleetFixture(int workerCount = 1)
    {
        for (int index = 0; index < workerCount; ++index) {
            const WorkerId id("worker-" + std::to_string(index));
            connector.workers[id] = std::make_shared<FakeWorker>(id, capacity, clock);
            directory.put({ id, "address", service, domain, RegionId("region"), capacity, ListedState::Live });
        }
    }

    FakeWorker &worker(int index = 0)
    {
        return *connector.workers.at(WorkerId("worker-" + std::to_string(index)));
    }

    ManualClock clock;
    Metrics metrics;
    FakeInstanceDirectory directory;
    FakeWorkerConnector connector;
    const ServiceId service { "namedesk" };
    const FailureDomainId domain { "harbour" };
    const ShardId shard { "harbour/0" };
    const Resources capacity { 32'000, 131'072, 0, 8, 64 };
    const Resources need { 4000, 1024, 0, 1, 1 };
};

/** The parts of an instance that can own the fixture's workers. */
struct FleetOwner
{
    FleetOwner(FleetFixture &fixture, const std::string &name) : FleetOwner(fixture, name, fixture.directory)
    {
    }

    /** @param directory the list as this owner reads it */
    FleetOwner(FleetFixture &fixture, const std::string &name, InstanceDirectory &directory)
        : fixture(fixture)
        , ledger(placer)
        , health(fixture.clock)
        , workers({ InstanceId(name), 1 }, fixture.clock, fixture.metrics, directory, fixture.connector, ledger, health)
        , service(fixture.clock, fixture.metrics, ledger, workers)
    {
        workers.start();
    }

    /** Gains the shard and waits until all its workers are claimed with the epoch. */
    void gainShardAndWait(Epoch epoch, std::size_t workerCount = 1)
    {
        workers.shardGained(fixture.shard, epoch);
        waitUntil([&] {
            const auto known = ledger.workers();
            return known.size() == workerCount
                   && std::all_of(known.begin(), known.end(), [&](const auto &entry) { return entry.epoch == epoch; });
        });
    }

    /** Waits until the condition holds, and advances the clock so that periodic work becomes due. */
    template<typename Condition>
    void waitUntil(Condition condition)
    {
        while (!condition()) {
            fixture.clock.advance(Milliseconds(20));
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }

    std::optional<Reservation> reserve(const std::string &key)
    {
        return ledger.reserve({ fixture.service, fixture.need, false, 0, {} }, { key, TeamId("team"), fixture.need, false });
    }

    TaskStart makeStart(const Reservation &reservation, const std::string &body) const
    {
        TaskStart order;
        order.id = TaskId(reservation.key);
        order.epoch = reservation.epoch;
        order.team = TeamId("team");
        order.service = fixture.service;
        order.need = fixture.need;
        order.latestStart = fixture.clock.wallNow() + std::chrono::hours(1);
        order.lease = std::chrono::hours(1);
        order.body = body;
        return order;
    }

    int freePlaces() const
    {
        return ledger.freePlaces({ fixture.service, fixture.need, false, 0, {} });
    }

    FleetFixture &fixture;
    BestFitPlacer placer;
    CapacityLedger ledger;
    WorkerHealth health;
    WorkerManager workers;
    OwnedWorkerService service;
};

} // namespace auburndoor
