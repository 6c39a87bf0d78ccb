#pragma once

#include "core/Clock.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace auburndoor {

class CapacityLedger;
class ConfigurationManager;
class MembershipView;
class Metrics;
class OwnedWorkerService;
class PoolInventory;
class ServiceQueues;
class ShareAccounts;
class WorkerManager;

/** The objects that PoolReporter reads and updates. */
struct PoolReporterDependencies
{
    Clock &clock;
    Metrics &metrics;
    ConfigurationManager &configuration;
    CapacityLedger &ledger;
    WorkerManager &workers;
    OwnedWorkerService &ownedWorkers;
    PoolInventory &inventory;
    ShareAccounts &shares;
    ServiceQueues &queues;
    MembershipView &members;
};

/**
    Computes data from the ledger, the roster and the queues for other modules: the pool summaries for the peers, the use by each
    team and the sizes of the pools.

    One thread, which reports soon after a change and about once a second without one.
*/
class PoolReporter
{
public:
    explicit PoolReporter(const PoolReporterDependencies &dependencies);
    ~PoolReporter();

    void start();
    void stop();

    /** Requests a report because the ledger or a queue has changed. Any thread; does not wait for the report. */
    void requestReport();

    /** Updates the shares, the pool summaries and, if they are due, the pool sizes. */
    void report();

private:
    void run();
    void updatePoolSummaries();
    void updateShares();
    void updateInventory();

    PoolReporterDependencies dependencies_;
    std::mutex mutex_;
    std::condition_variable condition_;
    bool isChanged_ = false;
    bool isStopping_ = false;
    TimePoint lastInventoryUpdate_;
    std::thread thread_;
};

} // namespace auburndoor
