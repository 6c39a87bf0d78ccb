#pragma once

#include "core/Clock.h"
#include "core/Identifier.h"
#include "core/Resources.h"
#include "placement/Placer.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace auburndoor {

/** Capacity of a worker that is reserved for one task or hold until CapacityLedger::release(). */
struct Reservation
{
    /** Task id or hold id; the key of the ledger entry. */
    std::string key;
    WorkerId worker;
    ShardId shard;
    /** The epoch of the shard with which the worker was claimed. */
    Epoch epoch = 0;
    /** Network address of the worker. */
    std::string address;
};

/** A worker in the ledger. */
struct LedgerWorker
{
    WorkerView view;
    std::string address;
    ShardId shard;
    Epoch epoch = 0;
};

/** A task or hold that uses capacity of a worker. */
struct LedgerEntry
{
    std::string key;
    TeamId team;
    Resources need;
    bool isLong = false;
};

/**
    Tracks the capacity in use on each owned worker. reserve() never lets the sum of the needs on a worker exceed its capacity.

    The state is kept per shard, each with its own lock. All members may be called from any thread.
*/
class CapacityLedger
{
public:
    /** @param placer chooses the workers in reserve(); outlives the ledger */
    explicit CapacityLedger(const Placer &placer);
    ~CapacityLedger();

    /**
        Adds a claimed worker with the tasks that it reports as running, or replaces the worker and its entries.

        Ignored if the epoch is lower than that of the worker in the ledger. With the same epoch, entries made by reserve() are
        kept, since their start requests may not have reached the worker yet.
    */
    void addWorker(const LedgerWorker &worker, const std::vector<LedgerEntry> &running);

    void removeWorker(const ShardId &shard, const WorkerId &worker);

    /** Removes a shard with all its workers and entries. */
    void removeShard(const ShardId &shard);

    /** Opens or closes a worker for new work. */
    void setOpen(const ShardId &shard, const WorkerId &worker, bool isOpen);

    /**
        Reserves capacity for a task or hold on a worker of the service.

        The need and isLong of the placement need are charged, not those of the entry. The key has to be new.

        @return empty if no worker has capacity
    */
    std::optional<Reservation> reserve(const PlacementNeed &need, const LedgerEntry &entry);

    /**
        Changes the key of an entry, for example from a hold id to the id of the task that uses the hold.

        @return the reservation with its new key; empty if the key is not known or the new key is in use
    */
    std::optional<Reservation> rename(const ShardId &shard, const std::string &key, const std::string &newKey);

    /** Removes an entry and frees its capacity. Ignored if the worker has no entry with this key. */
    void release(const ShardId &shard, const WorkerId &worker, const std::string &key);

    /** The number of tasks with this need that the workers of the service can take now. */
    int freePlaces(const PlacementNeed &need) const;

    /** The part of freePlaces() on workers that already run something. */
    int partialPlaces(const PlacementNeed &need) const;

    /** Copies of all workers, or of those of one service. */
    std::vector<LedgerWorker> workers(const ServiceId &service = {}) const;

    /** Capacity of the owned workers that each team uses. Teams that use nothing are left out. */
    std::map<TeamId, Resources> useByTeam() const;

    /** Sum of the capacities of the owned workers, used or not. */
    Resources ownedCapacity() const;

    /**
        Sets a function that is called when capacity may have become free: a worker was added or opened, or an entry released.

        It runs on the thread that made the change, without locks held.
    */
    void setCapacityListener(std::function<void()> listener);

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace auburndoor
