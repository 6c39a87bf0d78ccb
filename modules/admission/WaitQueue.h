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

/** Limits of a WaitQueue. */
struct WaitQueueOptions
{
    /** Entries that wait at the same time. Urgent ones may exceed it by an eighth, so that a full queue does not turn them away. */
    std::size_t limit = 1000;
    /** Entries from the head of the order that are looked at each time room appears. One gives a strict queue without backfill. */
    std::size_t scanLimit = 64;
    /** Failed tries after which a round ends; bounds the cost of an event while the pool is full. */
    int failureLimit = 8;
    /** Starts behind an entry that has not fitted, after which it may hold back the others. */
    int passLimit = 64;
    /** How long entries are held back at a stretch. */
    Milliseconds holdTime { 250 };
    /** Time between two stretches, so that a head that never fits costs the pool at most a ninth of its room. */
    Milliseconds holdPause { 2000 };
};

/**
    The requests of one pool that wait for room, each on its own thread.

    Every request goes through wait(), which tries it at once if nothing is ahead of it; so none overtakes the queue unless the
   order says so. Small work is tried behind a head that does not fit (backfill). After passLimit such starts the head holds back
   the work behind it of its own kind, so that the room it needs can gather. All members may be called from any thread.
*/
class WaitQueue
{
public:
    WaitQueue(Clock &clock, std::unique_ptr<QueueOrder> order, const WaitQueueOptions &options = {});
    ~WaitQueue();

    /**
        Waits until the request has been started.

        @param tryStart reserves room and returns true on success. It is called without locks held, on this thread or on one that
                        calls onCapacityFreed(), never twice at the same time and never after wait() has returned. It has to return
                        within microseconds and without exceptions: while it runs, nothing else of this queue is tried. It may
                        call into the ledger.
        @return         true if tryStart returned true; false with the failure filled (FailureStep::Queue; DeadlinePassed,
       Cancelled, QueueFull or ShuttingDown), and then no room is held
    */
    bool wait(const QueueEntry &entry, const std::function<bool()> &tryStart, Failure &failure);

    /** Tries the entries at the head of the order. Call after room has appeared, here or at a peer. */
    void onCapacityFreed();

    /** Ends the wait of a request; a start that is under way may still win. @return false if it does not wait here */
    bool cancel(const RequestId &id);

    /** Ends all waits and refuses new ones. */
    void shutdown();

    /** The number of requests that wait. */
    std::size_t size() const;

    /** An estimate of the number of waiting requests that start before the given one, which need not wait. */
    std::size_t countAhead(const QueueEntry &entry) const;

    /** Changes the limit of waiting entries, when the declaration changes. */
    void setLimit(std::size_t limit);

private:
    enum class State;
    struct Item;

    bool mayJoin(const QueueEntry &entry, Failure &failure) const;
    /** Tries the heads, or only the given item, unless another thread does so already; that one then goes round again. */
    void dispatch(std::unique_lock<std::mutex> &lock, const Item *only);
    void tryHeads(std::unique_lock<std::mutex> &lock, const Item *only);
    /** The next item to try in this round; null if there is none. Notes the ones it passes over in an only-round. */
    Item *nextItem(const Item *only, std::size_t &position);
    bool hasFailedAlready(const QueueEntry &entry) const;
    bool isHoldingBack(const Item &item, TimePoint now);
    bool tryItem(Item &item, std::unique_lock<std::mutex> &lock);
    void leave(Item &item, State state);
    static Failure failureOf(const Item &item);

    Clock &clock_;
    const std::unique_ptr<QueueOrder> order_;
    WaitQueueOptions options_;
    mutable std::mutex mutex_;
    std::map<RequestId, Item *> items_;
    /** Counts the rounds of tryHeads(), so that each entry is tried once in a round. */
    std::uint64_t round_ = 0;
    /** Items that were passed over in this round. */
    std::vector<Item *> missed_;
    /** Needs that did not fit in this round. */
    std::vector<std::pair<Resources, bool>> failedNeeds_;
    /** Start of the last stretch in which entries were held back. */
    std::optional<TimePoint> holdStart_;
    bool isDispatching_ = false;
    bool isRoomPending_ = false;
    bool isShutDown_ = false;
};

} // namespace auburndoor
