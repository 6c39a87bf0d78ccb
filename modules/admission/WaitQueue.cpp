#include "admission/WaitQueue.h"

#include "admission/QueueOrder.h"
#include "core/Failure.h"

#include <algorithm>
#include <array>

namespace auburndoor {

enum class WaitQueue::State {
    Waiting,
    /** The tryStart of the item runs now; the item stays in the queue until it returns. */
    Trying,
    Started,
    DeadlinePassed,
    Cancelled,
    ShutDown,
};

struct WaitQueue::Item
{
    const QueueEntry &entry;
    const std::function<bool()> &tryStart;
    State state = State::Waiting;
    std::condition_variable condition;
    /** The last round in which the item was tried or skipped; 0 if there was none. */
    std::uint64_t lastRound = 0;
    /** Starts of other items in rounds in which this one had failed or was skipped before. */
    int bypassCount = 0;
    /** Set if cancel() was called while tryStart ran. */
    bool isCancelRequested = false;
};

WaitQueue::WaitQueue(Clock &clock, std::unique_ptr<QueueOrder> order, const WaitQueueOptions &options)
    : clock_(clock), order_(std::move(order)), options_(options)
{
}

WaitQueue::~WaitQueue() = default;

bool WaitQueue::wait(const QueueEntry &entry, const std::function<bool()> &tryStart, Failure &failure)
{
    std::unique_lock lock(mutex_);
    if (!checkCanEnqueue(entry, failure)) {
        return false;
    }
    Item item { entry, tryStart, State::Waiting, {}, 0, 0, false };
    items_.emplace(entry.id, &item);
    order_->add(entry);
    dispatch(lock, &item);
    const auto hasEnded = [&item] { return item.state != State::Waiting && item.state != State::Trying; };
    clock_.waitUntil(lock, item.condition, entry.latestStart(), hasEnded);
    item.condition.wait(lock, [&item] { return item.state != State::Trying; });
    if (item.state == State::Waiting) {
        removeItem(item, State::DeadlinePassed);
    }
    if (item.state == State::Started) {
        return true;
    }
    failure = makeFailure(item);
    // The entry may have blocked backfill, so others are tried now that it has left.
    if (item.lastRound != 0 && !items_.empty()) {
        dispatch(lock, nullptr);
    }
    return false;
}

bool WaitQueue::checkCanEnqueue(const QueueEntry &entry, Failure &failure) const
{
    const auto refuse = [&failure](FailureReason reason, std::string message) {
        failure = Failure { FailureStep::Queue, {}, reason, std::move(message) };
        return false;
    };
    if (isShutDown_) {
        return refuse(FailureReason::ShuttingDown, "the wait queue is shut down");
    }
    if (clock_.now() >= entry.deadline) {
        return refuse(FailureReason::DeadlinePassed, "the deadline passed before the request was queued");
    }
    constexpr std::size_t urgentExtraDivisor = 8;
    const auto limit = options_.limit + (entry.priority == Priority::Urgent ? options_.limit / urgentExtraDivisor : 0);
    if (items_.size() >= limit) {
        return refuse(FailureReason::QueueFull, std::to_string(items_.size()) + " requests are already in the wait queue");
    }
    if (items_.contains(entry.id)) {
        return refuse(FailureReason::DuplicateKey, "a request with the same id is already in the wait queue");
    }
    return true;
}

void WaitQueue::dispatch(std::unique_lock<std::mutex> &lock, const Item *onlyItem)
{
    if (isDispatching_) {
        isRoundPending_ = true;
        return;
    }
    isDispatching_ = true;
    runRound(lock, onlyItem);
    while (isRoundPending_) {
        isRoundPending_ = false;
        runRound(lock, nullptr);
    }
    isDispatching_ = false;
}

void WaitQueue::runRound(std::unique_lock<std::mutex> &lock, const Item *onlyItem)
{
    ++round_;
    bypassed_.clear();
    failedNeeds_.clear();
    for (int failedTries = 0; failedTries < options_.failedTryLimit;) {
        std::size_t position = 0;
        auto *item = findNextItem(onlyItem, position);
        if (item == nullptr) {
            return;
        }
        if (tryItem(*item, lock)) {
            // The entry is still valid: its thread cannot leave wait() while the lock is held here.
            order_->started(item->entry, position);
            for (auto *bypassed : bypassed_) {
                ++bypassed->bypassCount;
            }
            continue;
        }
        ++failedTries;
    }
}

WaitQueue::Item *WaitQueue::findNextItem(const Item *onlyItem, std::size_t &position)
{
    const auto now = clock_.now();
    const auto heads = order_->heads(now, options_.scanLimit);
    std::array<bool, 2> isBlocked {};
    for (position = 0; position < heads.size(); ++position) {
        auto *item = items_.at(heads[position]->id);
        const auto lengthIndex = item->entry.isLong ? 1U : 0U;
        const bool isSkipped = onlyItem != nullptr && item != onlyItem;
        const bool canBeTried = item->state == State::Waiting && item->lastRound != round_ && now < item->entry.latestStart();
        if (canBeTried && !isSkipped && !isBlocked.at(lengthIndex) && !hasNeedFailed(item->entry)) {
            return item;
        }
        if (isSkipped && item->lastRound != round_) {
            item->lastRound = round_;
            bypassed_.push_back(item);
        }
        isBlocked.at(lengthIndex) = isBlocked.at(lengthIndex) || updateBackfillBlock(*item, now);
    }
    return nullptr;
}

bool WaitQueue::hasNeedFailed(const QueueEntry &entry) const
{
    // A single failure may be specific to the request, such as a worker that it avoids. After two the pool counts as full for the
    // need.
    constexpr auto failuresOfOneNeed = 2;
    return std::count(failedNeeds_.begin(), failedNeeds_.end(), std::pair(entry.need, entry.isLong)) >= failuresOfOneNeed;
}

bool WaitQueue::updateBackfillBlock(const Item &item, TimePoint now)
{
    if (item.bypassCount < options_.bypassLimit) {
        return false;
    }
    if (!backfillBlockStart_ || now >= *backfillBlockStart_ + options_.backfillBlockTime + options_.backfillBlockPause) {
        backfillBlockStart_ = now;
    }
    return now < *backfillBlockStart_ + options_.backfillBlockTime;
}

bool WaitQueue::tryItem(Item &item, std::unique_lock<std::mutex> &lock)
{
    item.state = State::Trying;
    item.lastRound = round_;
    lock.unlock();
    const bool isStarted = item.tryStart();
    lock.lock();
    if (isStarted) {
        removeItem(item, State::Started);
        return true;
    }
    item.state = State::Waiting;
    failedNeeds_.emplace_back(item.entry.need, item.entry.isLong);
    bypassed_.push_back(&item);
    if (item.isCancelRequested) {
        removeItem(item, State::Cancelled);
    } else if (isShutDown_) {
        removeItem(item, State::ShutDown);
    } else {
        item.condition.notify_all();
    }
    return false;
}

void WaitQueue::removeItem(Item &item, State state)
{
    order_->remove(item.entry);
    items_.erase(item.entry.id);
    bypassed_.erase(std::remove(bypassed_.begin(), bypassed_.end(), &item), bypassed_.end());
    item.state = state;
    item.condition.notify_all();
}

Failure WaitQueue::makeFailure(const Item &item)
{
    switch (item.state) {
    case State::Cancelled:
        return { FailureStep::Queue, {}, FailureReason::Cancelled, "the request was cancelled while it waited" };
    case State::ShutDown:
        return { FailureStep::Queue, {}, FailureReason::ShuttingDown, "the wait queue was shut down while the request waited" };
    default:
        return { FailureStep::Queue,
                 {},
                 FailureReason::DeadlinePassed,
                 "no capacity became free before the latest start time of the request" };
    }
}

void WaitQueue::onCapacityFreed()
{
    std::unique_lock lock(mutex_);
    if (!items_.empty()) {
        dispatch(lock, nullptr);
    }
}

bool WaitQueue::cancel(const RequestId &id)
{
    const std::lock_guard lock(mutex_);
    const auto found = items_.find(id);
    if (found == items_.end()) {
        return false;
    }
    auto &item = *found->second;
    if (item.state == State::Trying) {
        item.isCancelRequested = true;
    } else {
        removeItem(item, State::Cancelled);
    }
    return true;
}

void WaitQueue::shutdown()
{
    const std::lock_guard lock(mutex_);
    isShutDown_ = true;
    std::vector<Item *> waiting;
    for (const auto &[id, item] : items_) {
        if (item->state == State::Waiting) {
            waiting.push_back(item);
        }
    }
    for (auto *item : waiting) {
        removeItem(*item, State::ShutDown);
    }
}

std::size_t WaitQueue::size() const
{
    const std::lock_guard lock(mutex_);
    return items_.size();
}

std::size_t WaitQueue::countAhead(const QueueEntry &entry) const
{
    const std::lock_guard lock(mutex_);
    return order_->countAhead(entry);
}

void WaitQueue::setLimit(std::size_t limit)
{
    const std::lock_guard lock(mutex_);
    options_.limit = limit;
}

} // namespace auburndoor
