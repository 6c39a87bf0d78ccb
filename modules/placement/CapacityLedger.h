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

/** Room on a worker that has been set aside for one task; given back by CapacityLedger::release(). */
struct Reservation
{
    /** The task id or hold id under which the ledger keeps it. */
    std::string key;
    WorkerId worker;
    ShardId shard;
    /** The epoch of the shard at the time of the reservation. */
    Epoch epoch = 0;
    /** Where the worker listens. */
    std::string address;
};

/** A worker that the ledger accounts for. */
struct LedgerWorker
{
    WorkerView view;
    std::string address;
    ShardId shard;
    Epoch epoch = 0;
};

/** Something that takes room on a worker. */
struct LedgerEntry
{
    std::string key;
    TeamId team;
    Resources need;
    bool isLong = false;
};

/**
    Accounts for the use of each owned worker. It never lets the sum of the needs on a worker exceed its capacity.

    State is split by shard, each under its own lock. All members may be called from any thread.
*/
class CapacityLedger
{
public:
    explicit CapacityLedger(const Placer &placer);
    ~CapacityLedger();

    /**
        Adds a claimed worker with what runs on it; replaces what the ledger knew of it. Ignored if its epoch is lower than the
       known one. With the same epoch, what reserve() made is kept, since its start may still be on its way to the worker.
    */
    void addWorker(const LedgerWorker &worker, const std::vector<LedgerEntry> &running);

    void removeWorker(const ShardId &shard, const WorkerId &worker);

    /** Forgets a shard with all its workers and entries. */
    void removeShard(const ShardId &shard);

    /** Opens or closes a worker for new work. */
    void setOpen(const ShardId &shard, const WorkerId &worker, bool isOpen);

    /**
        Reserves room for a task or hold on a worker of the pool. The need and isLong of the placement are what is charged; the key
        has to be new.

        @return empty if there is no room
    */
    std::optional<Reservation> reserve(const PlacementNeed &need, const LedgerEntry &entry);

    /** Gives a key to an existing reservation, such as a task id to a hold. @return the reservation, or empty if it is not known */
    std::optional<Reservation> rename(const ShardId &shard, const std::string &key, const std::string &newKey);

    /** Gives room back; unknown keys are ignored. */
    void release(const ShardId &shard, const WorkerId &worker, const std::string &key);

    /** The number of tasks of the given need that fit the pool now. */
    int freePlaces(const PlacementNeed &need) const;

    /** The part of freePlaces() on workers that run something already, so that using it breaks up no free worker. */
    int partialPlaces(const PlacementNeed &need) const;

    /** A copy of what is known of all workers, or of those of one pool. */
    std::vector<LedgerWorker> workers(const ServiceId &service = {}) const;

    /** Use of the owned workers by each team. */
    std::map<TeamId, Resources> useByTeam() const;

    /** Sum of the capacity of the owned workers. */
    Resources ownedCapacity() const;

    /** Sets a function that is called, without locks held, after room has appeared. */
    void setCapacityListener(std::function<void()> listener);

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace auburndoor
