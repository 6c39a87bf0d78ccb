#pragma once

#include "dispatch/CommitQueue.h"
#include "dispatch/Fleet.h"
#include "dispatch/JobManager.h"
#include "dispatch/TaskPlacer.h"
#include "entry/Owner.h"
#include "entry/OwnershipGuard.h"
#include "entry/TableWatch.h"

#include <map>

namespace auburndoor {

/** The state of an Owner, shared with the callbacks of calls under way. */
struct Owner::Impl : std::enable_shared_from_this<Owner::Impl>
{
    Impl(const OwnerDependencies &parts, const Ownership &ownership, std::function<void()> deposedCallback);

    void depose();
    void workChanged();
    void readTables();
    void readTable(const std::string &table);
    /** Takes the stored state once all of it is read, and begins to work. */
    void takeTables();
    void takeProgress(const std::vector<StoreRow> &rows);
    void takeJobs(const std::vector<StoreRow> &rows);
    void takeRoster(const std::vector<StoreRow> &rows);
    void takeWorkers(const std::vector<StoreRow> &rows, bool isWhole);
    void tend();
    void serve(const ClientCall &call, Callback callback);
    void submit(const ClientCall &call, Callback callback);
    /** Says that there is no such job, once the store confirms that this is still the owner. */
    void confirmAbsence(Callback callback);
    void waitForFlush(TimePoint until, std::function<void(const Ownership &)> done);

    OwnerDependencies parts;
    Ownership ownership;
    std::function<void()> deposedCallback;
    FleetTiming times;
    CommitQueue commitQueue;
    JobManager jobManager;
    Fleet fleet;
    TaskPlacer placer;
    TableWatch workerWatch;
    OwnershipGuard guard;
    std::map<std::string, std::vector<StoreRow>> tablesRead;
    std::map<std::string, std::string> storedProgress;
    DesiredState queues;
    bool isReady = false;
    bool isClosed = false;
    bool isPlacing = false;
    /** From a change to the next round of placement. */
    Milliseconds roundPause;
    bool isLeaving = false;
};

} // namespace auburndoor
