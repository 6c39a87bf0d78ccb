#include "PoolModel.h"

#include "admission/AdmissionPolicy.h"
#include "admission/FairDeadlineOrder.h"
#include "admission/FifoOrder.h"

#include <algorithm>

using namespace auburndoor;

namespace {

const ServiceId service("namestudio");
constexpr Milliseconds longWork { 2000 };
const std::string shortKinds = "all short";
const std::string longKinds = "all long";

} // namespace

PoolModel::PoolModel(const PolicyOptions &policy, const PoolOptions &pool)
    : policy_(policy), slots_(pool.workers * pool.capacity.slots), start_(clock_.now()), ledger_(*policy.placer), reserve_(clock_)
{
    for (int index = 0; index < pool.workers; ++index) {
        const auto name = std::to_string(index);
        ledger_.addWorker({ { WorkerId("w" + name), service, FailureDomainId("d"), pool.capacity, {}, 0, true },
                            {},
                            ShardId("d/" + std::to_string(index % pool.shards)),
                            1 },
                          {});
    }
    shares_.setCapacity(ledger_.ownedCapacity(), ledger_.ownedCapacity());
    if (policy_.isProduct) {
        order_ = std::make_unique<FairDeadlineOrder>(shares_);
    } else {
        order_ = std::make_unique<FifoOrder>();
    }
}

std::vector<ItemResult> PoolModel::run(const std::vector<WorkItem> &items)
{
    items_ = &items;
    results_.assign(items.size(), {});
    reservations_.assign(items.size(), {});
    isWaiting_.assign(items.size(), 0);
    std::size_t next = 0;
    while (next < items.size() || !events_.empty()) {
        const bool isArrival = next < items.size() && (events_.empty() || start_ + items[next].arrival <= events_.top().time);
        if (isArrival) {
            clock_.set(start_ + items[next].arrival);
            arrive(next++);
            continue;
        }
        const auto event = events_.top();
        events_.pop();
        clock_.set(event.time);
        if (event.isCompletion) {
            complete(event.item);
        } else if (isWaiting_[event.item] != 0) {
            expire(event.item);
        }
    }
    return results_;
}

QueueEntry PoolModel::makeEntry(std::size_t index) const
{
    const auto &item = (*items_)[index];
    QueueEntry entry;
    entry.id = RequestId(std::to_string(index));
    entry.team = TeamId("t" + std::to_string(item.team));
    entry.priority = item.priority;
    entry.need = item.need;
    entry.arrival = clock_.now();
    entry.deadline = start_ + item.deadline;
    if (policy_.isProduct) {
        entry.expectedRunTime = estimator_.estimate(service, item.kind, item.declaredRunTime).median;
        entry.isLong = entry.expectedRunTime > longWork;
    }
    return entry;
}

void PoolModel::arrive(std::size_t index)
{
    entries_.resize(index + 1);
    entries_[index] = makeEntry(index);
    const auto &entry = entries_[index];
    if (policy_.isProduct) {
        reserve_.recordArrival(entry.isLong, entry.expectedRunTime);
        if (isRefused(entry)) {
            results_[index].end = ItemResult::End::Refused;
            lostBelowLoadLimit_ += isBelowLoadLimit() ? 1 : 0;
            return;
        }
    }
    order_->add(entry);
    isWaiting_[index] = 1;
    ++waiting_;
    events_.push({ entry.latestStart(), index, false });
    if (busy_ < slots_) {
        dispatch();
    }
}

bool PoolModel::isRefused(const QueueEntry &entry)
{
    AdmissionQuery query;
    query.remaining = std::chrono::duration_cast<Milliseconds>(entry.deadline - clock_.now());
    query.expectedRunTime = entry.expectedRunTime;
    query.queuedAhead = waiting_ == 0 ? 0 : order_->countAhead(entry);
    query.freePlaces = ledger_.freePlaces(placement(entry));
    // Short and long work each have the places that the other leaves them.
    query.totalPlaces = entry.isLong ? busyLong_ + query.freePlaces : slots_ - busyLong_;
    query.meanRunTime = estimator_.estimate(service, entry.isLong ? longKinds : shortKinds, Milliseconds(0)).mean;
    return !AdmissionPolicy::decide(query).isAdmitted;
}

void PoolModel::complete(std::size_t index)
{
    const auto &item = (*items_)[index];
    const auto &entry = entries_[index];
    ledger_.release(reservations_[index].shard, reservations_[index].worker, reservations_[index].key);
    --busy_;
    busyLong_ -= entry.isLong ? 1 : 0;
    results_[index].end = clock_.now() <= entry.deadline ? ItemResult::End::OnTime : ItemResult::End::Late;
    if (policy_.isProduct) {
        estimator_.observe(service, item.kind, item.runTime);
        estimator_.observe(service, entry.isLong ? longKinds : shortKinds, item.runTime);
    }
    dispatch();
}

void PoolModel::expire(std::size_t index)
{
    order_->remove(entries_[index]);
    isWaiting_[index] = 0;
    --waiting_;
    results_[index].end = ItemResult::End::Expired;
    lostBelowLoadLimit_ += isBelowLoadLimit() ? 1 : 0;
}

const QueueEntry *PoolModel::nextHead(const std::vector<Resources> &failedShort, const std::vector<Resources> &failedLong) const
{
    constexpr std::size_t productScanLimit = 64;
    constexpr auto failuresOfOneNeed = 2;
    for (const auto *entry : order_->heads(clock_.now(), policy_.isProduct ? productScanLimit : 1)) {
        const auto &failed = entry->isLong ? failedLong : failedShort;
        const bool isFull = std::count(failed.begin(), failed.end(), entry->need) >= failuresOfOneNeed;
        const bool isTried = triedInRound_.contains(std::stoul(entry->id.text()));
        if (!isTried && !isFull && clock_.now() < entry->latestStart()) {
            return entry;
        }
    }
    return nullptr;
}

void PoolModel::dispatch()
{
    if (waiting_ == 0) {
        return;
    }
    if (policy_.isProduct && waiting_ > 1) {
        shares_.setUse(ledger_.useByTeam());
    }
    triedInRound_.clear();
    std::vector<Resources> failedShort;
    std::vector<Resources> failedLong;
    constexpr std::size_t failureLimit = 8;
    while (failedShort.size() + failedLong.size() < failureLimit) {
        const auto *entry = nextHead(failedShort, failedLong);
        if (entry == nullptr) {
            return;
        }
        const auto index = std::stoul(entry->id.text());
        triedInRound_.insert(index);
        if (!tryStart(index)) {
            (entry->isLong ? failedLong : failedShort).push_back(entry->need);
        }
    }
}

PlacementNeed PoolModel::placement(const QueueEntry &entry) const
{
    const auto percent = policy_.isReserveAdaptive ? reserve_.percent(slots_, policy_.reservePercent) : policy_.reservePercent;
    return { service, entry.need, entry.isLong, percent, {} };
}

bool PoolModel::tryStart(std::size_t index)
{
    const auto &entry = entries_[index];
    const auto reservation = ledger_.reserve(placement(entry), { entry.id.text(), entry.team, entry.need, entry.isLong });
    if (!reservation) {
        return false;
    }
    reservations_[index] = *reservation;
    order_->remove(entry);
    order_->started(entry, 0);
    isWaiting_[index] = 0;
    --waiting_;
    ++busy_;
    busyLong_ += entry.isLong ? 1 : 0;
    results_[index].isStarted = true;
    results_[index].waitMs = std::chrono::duration<double, std::milli>(clock_.now() - entry.arrival).count();
    events_.push({ clock_.now() + (*items_)[index].runTime, index, true });
    return true;
}

bool PoolModel::isBelowLoadLimit() const
{
    constexpr long long wholePercent = 100;
    return busy_ * wholePercent < slots_ * AdmissionPolicy::alwaysAdmitBelowPercent;
}

int PoolModel::lostBelowLoadLimit() const
{
    return lostBelowLoadLimit_;
}

std::vector<double> PoolModel::workByTeam(const std::vector<WorkItem> &items,
                                          const std::vector<ItemResult> &results,
                                          std::chrono::seconds from,
                                          std::chrono::seconds to) const
{
    std::vector<double> work;
    for (std::size_t index = 0; index < items.size(); ++index) {
        const auto team = static_cast<std::size_t>(items[index].team);
        work.resize(std::max(work.size(), team + 1));
        if (!results[index].isStarted) {
            continue;
        }
        const auto begin = items[index].arrival
                           + std::chrono::duration_cast<std::chrono::microseconds>(
                               std::chrono::duration<double, std::milli>(results[index].waitMs));
        const auto end = std::min<std::chrono::microseconds>(begin + items[index].runTime, to);
        const auto inside = end - std::max<std::chrono::microseconds>(begin, from);
        work[team] += std::max(0.0, std::chrono::duration<double>(inside).count());
    }
    return work;
}
