#pragma once

#include "dispatch/CallTime.h"
#include "entry/CellProtocol.h"
#include "entry/EntrySettings.h"
#include "net/Timers.h"
#include "workload/Advisor.h"
#include "workload/StateStore.h"
#include "workload/WorkerClient.h"

#include <functional>
#include <memory>
#include <string>

namespace auburndoor {

class Metrics;
class StoreTimeline;

/**
    An ownership that this process has won.

    It has the fencing token, the versions of the epoch and sequence rows at that time, and the time at which the write of the epoch
    row was sent.
*/
struct Ownership
{
    std::int64_t token = 0;
    std::int64_t epochVersion = 0;
    std::int64_t sequenceVersion = 0;
    CallTime takeoverSentAt;
};

/** The objects that an Owner uses. */
struct OwnerDependencies
{
    Timers &timers;
    StateStore &store;
    /** Learns from the owner's reads, and knows the readings of before its takeover. */
    StoreTimeline &storeTimeline;
    WorkerClientFactory &workerClients;
    Advisor &advisor;
    const CellProtocol &protocol;
    const EntrySettings &settings;
};

/**
    The owner of the cell: it accepts jobs, places their tasks and records their progress, under one fencing token.

    A new owner reads the stored jobs and the roster, then the report of each worker. It serves clients as soon as the jobs are
    read. All members are called from the loop's thread.
*/
class Owner
{
public:
    using Callback = std::function<void(const ClientResult &)>;

    /** @param onDeposed called once when another owner has taken over; this owner has stopped by then */
    Owner(const OwnerDependencies &dependencies, const Ownership &ownership, std::function<void()> onDeposed);
    ~Owner();

    /** Reads the stored state, retrying until the store answers, and then starts to serve and to place tasks. */
    void start();

    /** True from the time at which the stored jobs are read until this owner is deposed. */
    bool isReady() const;

    /** Tells, for a person, why this owner is not ready. */
    std::string describeUnreadiness() const;

    /**
        Handles a client's call.

        @param callback called with the result, possibly before call() returns; not called for a cancellation that is not stored
                        when this owner is deposed
    */
    void call(const ClientCall &call, Callback callback);

    /** Takes over a new version of the desired state. */
    void setDesiredState(const DesiredState &desiredState);

    /** Ends this owner, since another process has told that a later one has taken over. */
    void noteSuccessor();

    /** How long the store has not served this owner, which reads or writes; zero if it does. */
    Milliseconds storeStallDuration() const;

    /** The table that this owner cannot read for storeStallDuration(); empty once it has read all tables. */
    std::string stalledTable() const;

    std::int64_t token() const;

    /** Sets the gauges for queues, workers, lease renewals and store transactions. */
    void updateMetrics(Metrics &metrics) const;

    /**
        Stops starting tasks and accepting new jobs, and waits until the writes that are pending now are stored.

        Ends that workers list later are left to the next owner: while many tasks run, the writes never cease, and nothing starts
        until the next owner has taken over.

        @param timeout the longest wait for the writes
        @param done    called after the writes are stored, after the timeout, or when this owner is deposed
    */
    void flush(Milliseconds timeout, std::function<void(const Ownership &)> done);

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace auburndoor
