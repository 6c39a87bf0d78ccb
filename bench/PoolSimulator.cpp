#include "PoolSimulator.h"

#include "admission/AdmissionPolicy.h"
#include "admission/FairDeadlineOrder.h"
#include "admission/FifoOrder.h"

#include <algorithm>

using namespace auburndoor;

namespace {

const ServiceId service("namestudio");
constexpr Milliseconds longWorkThreshold { 2000 };
const std::string allShortKinds = "all short";
const std::string allLongKinds = "all long";

} // namespace

PoolSimulator::PoolSimulator(const PolicyOptions &policy, const PoolOptions &pool)
    : policy_(policy)
    , totalSlots_(pool.workers * pool.capacity.slots)
    , start_(clock_.now())
    , ledger_(*policy.placer)
    , reserve_(clock_)
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
    if (policy_.usesProductPolicies) {
        order_ = std::make_unique<FairDeadlineOrder>(shares_);
    } else {
        order_ = std::make_unique<FifoOrder>();
    }
}

std::vector<WorkItemResult> PoolSimulator::run(const std::vector<WorkItem> &items)
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
            handleArrival(next++);
            continue;
        }
        const auto event = events_.top();
        events_.pop();
        clock_.set(event.time);
        if (event.isCompletion) {
            handleCompletion(event.item);
        } else if (isWaiting_[event.item] != 0) {
            handleExpiry(event.item);
        }
    }
    return results_;
}

QueueEntry PoolSimulator::makeEntry(std::size_t index) const
{
    const auto &item = (*items_)[index];
    QueueEntry entry;
    entry.id = RequestId(std::to_string(index));
    entry.team = TeamId("t" + std::to_string(item.team));
    entry.priority = item.priority;
    entry.need = item.need;
    entry.arrival = clock_.now();
    entry.deadline = start_ + item.deadline;
    if (policy_.usesProductPolicies) {
        entry.expectedRunTime = estimator_.estimate(service, item.kind, item.declaredRunTime).median;
        entry.isLong = entry.expectedRunTime > longWorkThreshold;
    }
    return entry;
}

void PoolSimulator::handleArrival(std::size_t index)
{
    entries_.resize(index + 1);
    entries_[index] = makeEntry(index);
    const auto &entry = entries_[index];
    if (policy_.usesProductPolicies) {
        reserve_.recordArrival(entry.isLong, entry.expectedRunTime);
        if (isRefused(entry)) {
            results_[index].outcome = WorkItemResult::Outcome::Refused;
            unservedBelowLoadLimit_ += isBelowLoadLimit() ? 1 : 0;
            return;
        }
    }
    order_->add(entry);
    isWaiting_[index] = 1;
    ++waitingCount_;
    events_.push({ entry.latestStart(), index, false });
    if (busySlots_ < totalSlots_) {
        dispatch();
    }
}

bool PoolSimulator::isRefused(const QueueEntry &entry)
{
    AdmissionQuery query;
    query.remaining = std::chrono::duration_cast<Milliseconds>(entry.deadline - clock_.now());
    query.expectedRunTime = entry.expectedRunTime;
    query.queuedAhead = waitingCount_ == 0 ? 0 : order_->countAhead(entry);
    query.freePlaces = ledger_.freePlaces(makePlacementNeed(entry));
    // Long work counts the places that it uses or that are free for it; short work counts all slots without running long work.
    query.totalPlaces = entry.isLong ? busyLongSlots_ + query.freePlaces : totalSlots_ - busyLongSlots_;
    query.meanRunTime = estimator_.estimate(service, entry.isLong ? allLongKinds : allShortKinds, Milliseconds(0)).mean;
    return !AdmissionPolicy::decide(query).isAdmitted;
}

void PoolSimulator::handleCompletion(std::size_t index)
{
    const auto &item = (*items_)[index];
    const auto &entry = entries_[index];
    ledger_.release(reservations_[index].shard, reservations_[index].worker, reservations_[index].key);
    --busySlots_;
    busyLongSlots_ -= entry.isLong ? 1 : 0;
    results_[index].outcome = clock_.now() <= entry.deadline ? WorkItemResult::Outcome::OnTime : WorkItemResult::Outcome::Late;
    if (policy_.usesProductPolicies) {
        estimator_.observe(service, item.kind, item.runTime);
        estimator_.observe(service, entry.isLong ? allLongKinds : allShortKinds, item.runTime);
    }
    dispatch();
}

void PoolSimulator::handleExpiry(std::size_t index)
{
    order_->remove(entries_[index]);
    isWaiting_[index] = 0;
    --waitingCount_;
    results_[index].outcome = WorkItemResult::Outcome::Expired;
    unservedBelowLoadLimit_ += isBelowLoadLimit() ? 1 : 0;
}

const QueueEntry *PoolSimulator::findNextCandidate(const std::vector<Resources> &failedShortNeeds,
                                                   const std::vector<Resources> &failedLongNeeds) const
{
    constexpr std::size_t productScanLimit = 64;
    constexpr auto maximumFailuresPerNeed = 2;
    for (const auto *entry : order_->heads(clock_.now(), policy_.usesProductPolicies ? productScanLimit : 1)) {
        const auto &failedNeeds = entry->isLong ? failedLongNeeds : failedShortNeeds;
        const bool isNeedExhausted = std::count(failedNeeds.begin(), failedNeeds.end(), entry->need) >= maximumFailuresPerNeed;
        const bool isAlreadyTried = triedInRound_.contains(std::stoul(entry->id.text()));
        if (!isAlreadyTried && !isNeedExhausted && clock_.now() < entry->latestStart()) {
            return entry;
        }
    }
    return nullptr;
}

void PoolSimulator::dispatch()
{
    if (waitingCount_ == 0) {
        return;
    }
    if (policy_.usesProductPolicies && waitingCount_ > 1) {
        shares_.setUse(ledger_.useByTeam());
    }
    triedInRound_.clear();
    std::vector<Resources> failedShortNeeds;
    std::vector<Resources> failedLongNeeds;
    constexpr std::size_t failureLimit = 8;
    while (failedShortNeeds.size() + failedLongNeeds.size() < failureLimit) {
        const auto *entry = findNextCandidate(failedShortNeeds, failedLongNeeds);
        if (entry == nullptr) {
            return;
        }
        const auto index = std::stoul(entry->id.text());
        triedInRound_.insert(index);
        if (!tryStart(index)) {
            (entry->isLong ? failedLongNeeds : failedShortNeeds).push_back(entry->need);
        }
    }
}

PlacementNeed PoolSimulator::makePlacementNeed(const QueueEntry &entry) const
{
    const auto percent = policy_.isReserveAdaptive ? reserve_.percent(totalSlots_, policy_.reservePercent) : policy_.reservePercent;
    return { service, entry.need, entry.isLong, percent, {} };
}

bool PoolSimulator::tryStart(std::size_t index)
{
    const auto &entry = entries_[index];
    const auto reservation = ledger_.reserve(makePlacementNeed(entry), { entry.id.text(), entry.team, entry.need, entry.isLong });
    if (!reservation) {
        return false;
    }
    reservations_[index] = *reservation;
    order_->remove(entry);
    order_->started(entry, 0);
    isWaiting_[index] = 0;
    --waitingCount_;
    ++busySlots_;
    busyLongSlots_ += entry.isLong ? 1 : 0;
    results_[index].isStarted = true;
    results_[index].waitMs = std::chrono::duration<double, std::milli>(clock_.now() - entry.arrival).count();
    events_.push({ clock_.now() + (*items_)[index].runTime, index, true });
    return true;
}

bool PoolSimulator::isBelowLoadLimit() const
{
    constexpr long long wholePercent = 100;
    return busySlots_ * wholePercent < totalSlots_ * AdmissionPolicy::alwaysAdmitBelowPercent;
}

int PoolSimulator::countUnservedBelowLoadLimit() const
{
    return unservedBelowLoadLimit_;
}

std::vector<double> PoolSimulator::computeWorkByTeam(const std::vector<WorkItem> &items,
                                                     const std::vector<WorkItemResult> &results,
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
