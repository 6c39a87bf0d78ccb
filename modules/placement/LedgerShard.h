#pragma once

#include "placement/CapacityLedger.h"

#include <mutex>
#include <unordered_map>

namespace auburndoor {

/** The workers of one service in one shard. The same index in views, addresses and epochs belongs to the same worker. */
struct LedgerPool
{
    /** Contiguous, since Placer::choose() takes them as a span. */
    std::vector<WorkerView> views;
    std::vector<std::string> addresses;
    std::vector<Epoch> epochs;
    /** Index of each worker in the vectors. */
    std::unordered_map<WorkerId, std::size_t> indexes;

    /** Numbers of free places: all of them, and those on workers that already run something. */
    struct Places
    {
        int free = 0;
        int partial = 0;
    };

    /** The free places for one need; valid until a worker of the pool or its entries change. */
    struct CachedPlaceCount
    {
        Resources need;
        bool isLong = false;
        int shortReservePercent = 0;
        Places places;
    };
    std::vector<CachedPlaceCount> placeCounts;

    /** Counts the tasks with this need that the pool can take now. Reads the cache if it has the need. */
    Places countPlaces(const PlacementNeed &need);
};

/** The state of one shard; internal to CapacityLedger. Callers of the members hold the mutex, which guards all fields. */
struct LedgerShard
{
    /** An entry and the worker whose capacity it uses. */
    struct ChargedEntry
    {
        ServiceId service;
        WorkerId worker;
        LedgerEntry entry;
        /** True if made by CapacityLedger::reserve(), false if reported by the worker. */
        bool isReservation = false;
    };

    mutable std::mutex mutex;
    std::map<ServiceId, LedgerPool> pools;
    /** By LedgerEntry::key. */
    std::unordered_map<std::string, ChargedEntry> entries;
    std::map<TeamId, Resources> useByTeam;
    /** Sum of the capacities of the workers. */
    Resources capacity;

    /** The pool that contains the worker; null if there is none. */
    LedgerPool *findPool(const WorkerId &worker);

    /** Adds a worker without entries; the use in its view is reset to zero. @return its index in the pool */
    std::size_t appendWorker(LedgerPool &pool, const LedgerWorker &worker);

    /** Removes a worker and all its entries. @return the removed entries that were made by CapacityLedger::reserve() */
    std::vector<LedgerEntry> extractWorker(LedgerPool &pool, const WorkerId &worker);

    /** Adds an entry and its use to a worker. Ignored if the key is in use. */
    void chargeEntry(LedgerPool &pool, std::size_t index, const LedgerEntry &entry, bool isReservation);

    /** Removes an entry and subtracts its use. @return false if the worker has no entry with this key */
    bool releaseEntry(const std::string &key, const WorkerId &worker);

    /** Changes the key of an entry. @return the entry; null if the key is not known or the new key is in use */
    const ChargedEntry *rename(const std::string &key, const std::string &newKey);

private:
    /** Subtracts an entry from the use of its worker and its team. */
    void subtractUse(WorkerView &view, const LedgerEntry &entry);
};

} // namespace auburndoor
