#pragma once

#include "placement/CapacityLedger.h"

#include <mutex>
#include <unordered_map>

namespace auburndoor {

/** The workers of one service in one shard. The views lie side by side, as a placer reads them; the other vectors run parallel. */
struct LedgerPool
{
    std::vector<WorkerView> views;
    std::vector<std::string> addresses;
    std::vector<Epoch> epochs;
    std::unordered_map<WorkerId, std::size_t> indexes;

    /** Free places, and those among them on workers that run something already. */
    struct Places
    {
        int free = 0;
        int partial = 0;
    };

    /** A count of free places, valid until a worker of the pool changes. */
    struct CountedPlaces
    {
        Resources need;
        bool isLong = false;
        int shortReservePercent = 0;
        Places places;
    };
    std::vector<CountedPlaces> counted;

    /** The number of tasks of the need that fit now; counted anew only after a change. */
    Places places(const PlacementNeed &need);
};

/** Internal to CapacityLedger: the state of one shard. The mutex guards all of it and is held by the caller. */
struct LedgerShard
{
    struct HeldEntry
    {
        ServiceId service;
        WorkerId worker;
        LedgerEntry entry;
        /** Made by CapacityLedger::reserve(), not read from a worker's report. */
        bool isReservation = false;
    };

    mutable std::mutex mutex;
    std::map<ServiceId, LedgerPool> pools;
    std::unordered_map<std::string, HeldEntry> entries;
    std::map<TeamId, Resources> useByTeam;
    Resources capacity;

    /** The pool that contains a worker; null if there is none. */
    LedgerPool *poolOf(const WorkerId &worker);

    /** Adds an unused worker. @return its index in the pool */
    std::size_t append(LedgerPool &pool, const LedgerWorker &worker);

    /** Takes a worker out with all its entries. @return the entries that were made by reserve() */
    std::vector<LedgerEntry> takeOut(LedgerPool &pool, const WorkerId &worker);

    /** Charges an entry to a worker, unless its key is in use. */
    void hold(LedgerPool &pool, std::size_t index, const LedgerEntry &entry, bool isReservation);

    /** Ends an entry. @return false if the worker holds no such entry */
    bool drop(const std::string &key, const WorkerId &worker);

    /** @return null if the key is not known or the new one is in use */
    const HeldEntry *rename(const std::string &key, const std::string &newKey);

private:
    void discharge(WorkerView &view, const LedgerEntry &entry);
};

} // namespace auburndoor
