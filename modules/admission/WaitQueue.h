#pragma once

#include "admission/QueueEntry.h"
#include "core/Clock.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace auburndoor {

class QueueOrder;
struct Failure;

/** Limits and backfill rules of a WaitQueue. */
struct WaitQueueOptions
{
    /** Largest number of waiting entries. Urgent ones may exceed it by an eighth, so that a full queue does not refuse them. */
    std::size_t limit = 1000;
    /** Number of entries at the head of the order that are considered in a round. With 1 there is no backfill. */
    std::size_t scanLimit = 64;
    /** Failed tries after which a round ends; bounds the cost of a round while the pool is full. */
    int failedTryLimit = 8;
    /** Number of starts of later entries after which an entry that did not fit may block backfill. */
    int bypassLimit = 64;
    /** How long backfill is blocked at a time. */
    Milliseconds backfillBlockTime { 250 };
    /** Pause between two blocks. With 2000 ms after 250 ms, a head that never fits blocks backfill at most a ninth of the time. */
    Milliseconds backfillBlockPause { 2000 };
};

/**
    The requests of one pool that wait for capacity, each on its own thread.

    Every request goes through wait(), so that the order of the queue applies to all. Entries behind a head that does not fit are
    tried as well (backfill). After bypassLimit such starts, the head blocks backfill by later entries of its own length (short or
    long) for a while, so that enough capacity for it can become free.

    onCapacityFreed() runs a round, in which each of the first scanLimit entries of the order is tried at most once. An arrival runs
    a round in which only it is tried, if it is among these entries. All members may be called from any thread.
*/
class WaitQueue
{
public:
    WaitQueue(Clock &clock, std::unique_ptr<QueueOrder> order, const WaitQueueOptions &options = {});
    ~WaitQueue();

    /**
        Waits until the request has been started, or until QueueEntry::latestStart(), cancel() or shutdown().

        @param tryStart reserves capacity and returns true on success. It is called without locks held, on any thread that calls
                        wait() or onCapacityFreed(), never twice at the same time and never after wait() has returned. It must
                        return within microseconds and not throw: while it runs, no other entry of this queue is tried. It may call
                        CapacityLedger.
        @param failure  set if false is returned, with FailureStep::Queue and the reason DeadlinePassed, Cancelled, QueueFull,
                        DuplicateKey or ShuttingDown
        @return         true if tryStart returned true; if false, no capacity is reserved
    */
    bool wait(const QueueEntry &entry, const std::function<bool()> &tryStart, Failure &failure);

    /** Runs a round over the first entries of the order. Call when capacity has become free, at this instance or at a peer. */
    void onCapacityFreed();

    /**
        Ends the wait of a request. If its tryStart runs at this time and succeeds, the request is started nevertheless.

        @return false if the request is not in this queue
    */
    bool cancel(const RequestId &id);

    /** Ends all waits and refuses new ones with FailureReason::ShuttingDown. */
    void shutdown();

    /** The number of requests that wait. */
    std::size_t size() const;

    /** Estimates the number of waiting requests that start before the given one, which need not be in the queue. */
    std::size_t countAhead(const QueueEntry &entry) const;

    /** Changes WaitQueueOptions::limit. Entries above a lower limit stay in the queue. */
    void setLimit(std::size_t limit);

private:
    enum class State;
    struct Item;

    /** @return true if the entry may wait; otherwise false with the failure set */
    bool checkCanEnqueue(const QueueEntry &entry, Failure &failure) const;
    /**
        Runs a round, limited to onlyItem if it is not null.

        If another thread runs a round already, that thread runs a round for all items afterwards.
    */
    void dispatch(std::unique_lock<std::mutex> &lock, const Item *onlyItem);
    /** Tries the heads in order, each once, until none is left or failedTryLimit is reached. Unlocks while tryStart runs. */
    void runRound(std::unique_lock<std::mutex> &lock, const Item *onlyItem);
    /**
        The next item to try in this round; null if there is none.

        In a round for onlyItem, the items ahead of it are recorded as bypassed.

        @param position set to the index of the item among the heads
    */
    Item *findNextItem(const Item *onlyItem, std::size_t &position);
    /** True if the same need has failed often enough in this round to treat the pool as full for it. */
    bool hasNeedFailed(const QueueEntry &entry) const;
    /**
        True if the item blocks backfill now. Starts a new block if the item has reached bypassLimit and the last block and its
        pause are over.
    */
    bool updateBackfillBlock(const Item &item, TimePoint now);
    /** Calls the tryStart of an item without the lock. @return true if it has started */
    bool tryItem(Item &item, std::unique_lock<std::mutex> &lock);
    /** Removes an item from the queue, sets its state, and wakes its thread. */
    void removeItem(Item &item, State state);
    static Failure makeFailure(const Item &item);

    Clock &clock_;
    const std::unique_ptr<QueueOrder> order_;
    WaitQueueOptions options_;
    mutable std::mutex mutex_;
    /** The items of the threads in wait(), until they start or end. */
    std::map<RequestId, Item *> items_;
    /** Number of the current round, from 1. An item whose lastRound is equal is not tried again. */
    std::uint64_t round_ = 0;
    /** Items that failed or were skipped in this round. Each later start of another item counts as a bypass of them. */
    std::vector<Item *> bypassed_;
    /** Need and isLong of the items whose tryStart failed in this round. */
    std::vector<std::pair<Resources, bool>> failedNeeds_;
    /** Start of the last block of backfill. */
    std::optional<TimePoint> backfillBlockStart_;
    /** True while a thread runs rounds. */
    bool isDispatching_ = false;
    /** True if that thread has to run another round. */
    bool isRoundPending_ = false;
    bool isShutDown_ = false;
};

} // namespace auburndoor
