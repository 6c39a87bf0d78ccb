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

/** The parts of an instance that PoolReporter keeps in step. */
struct PoolReporterParts
{
    Clock &clock;
    Metrics &metrics;
    ConfigurationManager &configuration;
    CapacityLedger &ledger;
    WorkerManager &workers;
    OwnedWorkerService &owner;
    PoolInventory &inventory;
    ShareAccounts &shares;
    ServiceQueues &queues;
    MembershipView &members;
};

/**
    Derives what others read from the ledger: the summary for the peers, the teams' use, the pools' sizes.

    One thread; it runs soon after a change and at least once a second.
*/
class PoolReporter
{
public:
    explicit PoolReporter(const PoolReporterParts &parts);
    ~PoolReporter();

    void start();
    void stop();

    /** Says that the ledger or a queue has changed. Any thread; cheap. */
    void noteChange();

    /** Derives everything now. Used by the thread and by tests. */
    void report();

private:
    void run();
    void reportPools();
    void reportShares();
    void reportCensus();

    PoolReporterParts parts_;
    std::mutex mutex_;
    std::condition_variable condition_;
    bool isChanged_ = false;
    bool isStopping_ = false;
    TimePoint lastCensus_;
    std::thread thread_;
};

} // namespace auburndoor
