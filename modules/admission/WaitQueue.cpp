#include "admission/WaitQueue.h"

#include "admission/QueueOrder.h"
#include "core/Failure.h"

#include <algorithm>
#include <array>

namespace auburndoor {

enum class WaitQueue::State {
    Waiting,
    /** Its tryStart runs now; the item stays until it returns. */
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
    std::uint64_t triedRound = 0;
    int passCount = 0;
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
    if (!mayJoin(entry, failure)) {
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
        leave(item, State::DeadlinePassed);
    }
    if (item.state == State::Started) {
        return true;
    }
    failure = failureOf(item);
    // An entry that has been tried may have held back others.
    if (item.triedRound != 0 && !items_.empty()) {
        dispatch(lock, nullptr);
    }
    return false;
}

bool WaitQueue::mayJoin(const QueueEntry &entry, Failure &failure) const
{
    const auto refuse = [&failure](FailureReason reason, std::string message) {
        failure = Failure { FailureStep::Queue, {}, reason, std::move(message) };
        return false;
    };
    if (isShutDown_) {
        return refuse(FailureReason::ShuttingDown, "the queue is shut down");
    }
    if (clock_.now() >= entry.deadline) {
        return refuse(FailureReason::DeadlinePassed, "the deadline had passed on arrival");
    }
    constexpr std::size_t urgentPart = 8;
    const auto limit = options_.limit + (entry.priority == Priority::Urgent ? options_.limit / urgentPart : 0);
    if (items_.size() >= limit) {
        return refuse(FailureReason::QueueFull, std::to_string(items_.size()) + " requests wait already");
    }
    if (items_.contains(entry.id)) {
        return refuse(FailureReason::DuplicateKey, "a request with this id waits already");
    }
    return true;
}

void WaitQueue::dispatch(std::unique_lock<std::mutex> &lock, const Item *only)
{
    if (isDispatching_) {
        isRoomPending_ = true;
        return;
    }
    isDispatching_ = true;
    tryHeads(lock, only);
    while (isRoomPending_) {
        isRoomPending_ = false;
        tryHeads(lock, nullptr);
    }
    isDispatching_ = false;
}

void WaitQueue::tryHeads(std::unique_lock<std::mutex> &lock, const Item *only)
{
    ++round_;
    missed_.clear();
    failedNeeds_.clear();
    for (int failures = 0; failures < options_.failureLimit;) {
        std::size_t position = 0;
        auto *item = nextItem(only, position);
        if (item == nullptr) {
            return;
        }
        if (tryItem(*item, lock)) {
            // The entry lives until its thread gets the lock, which is held here.
            order_->started(item->entry, position);
            for (auto *missed : missed_) {
                ++missed->passCount;
            }
            continue;
        }
        ++failures;
    }
}

WaitQueue::Item *WaitQueue::nextItem(const Item *only, std::size_t &position)
{
    const auto now = clock_.now();
    const auto heads = order_->heads(now, options_.scanLimit);
    std::array<bool, 2> isHeldBack {};
    for (position = 0; position < heads.size(); ++position) {
        auto *item = items_.at(heads[position]->id);
        const auto kind = item->entry.isLong ? 1U : 0U;
        const bool isSkipped = only != nullptr && item != only;
        const bool isDue = item->state == State::Waiting && item->triedRound != round_ && now < item->entry.latestStart();
        if (isDue && !isSkipped && !isHeldBack.at(kind) && !hasFailedAlready(item->entry)) {
            return item;
        }
        if (isSkipped && item->triedRound != round_) {
            item->triedRound = round_;
            missed_.push_back(item);
        }
        isHeldBack.at(kind) = isHeldBack.at(kind) || isHoldingBack(*item, now);
    }
    return nullptr;
}

bool WaitQueue::hasFailedAlready(const QueueEntry &entry) const
{
    // One failure may have a reason of its own, such as a worker to be avoided; after two of the same need the pool counts as full.
    constexpr auto failuresOfOneNeed = 2;
    return std::count(failedNeeds_.begin(), failedNeeds_.end(), std::pair(entry.need, entry.isLong)) >= failuresOfOneNeed;
}

bool WaitQueue::isHoldingBack(const Item &item, TimePoint now)
{
    if (item.passCount < options_.passLimit) {
        return false;
    }
    if (!holdStart_ || now >= *holdStart_ + options_.holdTime + options_.holdPause) {
        holdStart_ = now;
    }
    return now < *holdStart_ + options_.holdTime;
}

bool WaitQueue::tryItem(Item &item, std::unique_lock<std::mutex> &lock)
{
    item.state = State::Trying;
    item.triedRound = round_;
    lock.unlock();
    const bool isStarted = item.tryStart();
    lock.lock();
    if (isStarted) {
        leave(item, State::Started);
        return true;
    }
    item.state = State::Waiting;
    failedNeeds_.emplace_back(item.entry.need, item.entry.isLong);
    missed_.push_back(&item);
    if (item.isCancelRequested) {
        leave(item, State::Cancelled);
    } else if (isShutDown_) {
        leave(item, State::ShutDown);
    } else {
        item.condition.notify_all();
    }
    return false;
}

void WaitQueue::leave(Item &item, State state)
{
    order_->remove(item.entry);
    items_.erase(item.entry.id);
    missed_.erase(std::remove(missed_.begin(), missed_.end(), &item), missed_.end());
    item.state = state;
    item.condition.notify_all();
}

Failure WaitQueue::failureOf(const Item &item)
{
    switch (item.state) {
    case State::Cancelled:
        return { FailureStep::Queue, {}, FailureReason::Cancelled, "cancelled while it waited" };
    case State::ShutDown:
        return { FailureStep::Queue, {}, FailureReason::ShuttingDown, "the queue was shut down while the request waited" };
    default:
        return {
            FailureStep::Queue, {}, FailureReason::DeadlinePassed, "no room appeared in time for a start before the deadline"
        };
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
        leave(item, State::Cancelled);
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
        leave(*item, State::ShutDown);
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
