#pragma once

#include "entry/CellProtocol.h"
#include "entry/EntrySettings.h"
#include "net/Timers.h"
#include "workload/Advisor.h"
#include "workload/StateStore.h"
#include "workload/WorkerClient.h"

#include <functional>
#include <memory>

namespace auburndoor {

class Metrics;

/** An ownership that was won: the fencing token and the versions of the rows that prove it. */
struct Ownership
{
    std::int64_t token = 0;
    std::int64_t epochVersion = 0;
    std::int64_t sequenceVersion = 0;
};

/** What an owner works with. */
struct OwnerDependencies
{
    Timers &timers;
    StateStore &store;
    WorkerClientFactory &workers;
    Advisor &advisor;
    const CellProtocol &protocol;
    const EntrySettings &settings;
};

/**
    The owner of the cell: it accepts jobs, places their tasks and records their progress, under one fencing token.

    A new owner reads the stored jobs and the roster, then the report of each worker; it serves clients as soon as the jobs are
   read. All members are called from the loop's thread.
*/
class Owner
{
public:
    using Callback = std::function<void(const ClientResult &)>;

    /** @param deposed called once when another owner has taken over; the owner does nothing more by then */
    Owner(const OwnerDependencies &parts, const Ownership &ownership, std::function<void()> deposed);
    ~Owner();

    /** Reads the stored state and begins to work. */
    void start();

    /** True once the stored jobs are read. */
    bool isReady() const;

    void call(const ClientCall &call, Callback callback);

    /** Follows a new version of the desired state. */
    void setDesiredState(const DesiredState &queues);

    /** How long the store has not taken this owner's writes; zero if all is well. */
    Milliseconds storeAway() const;

    std::int64_t token() const;

    /** Sets the gauges of queues, workers and calls. */
    void report(Metrics &metrics) const;

    /** Stops starting tasks and calls back when all that waits is stored, or after the patience. */
    void flush(Milliseconds patience, std::function<void(const Ownership &)> done);

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace auburndoor
