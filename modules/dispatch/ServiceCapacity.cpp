#include "dispatch/ServiceCapacity.h"

#include <algorithm>
#include <utility>

namespace auburndoor {

namespace {

// Steps that have not seen an older growth search all workers again.
constexpr std::size_t maxKnownGrowth = 256;

void raiseTo(Resources &bound, const Resources &amount)
{
    bound.milliCores = std::max(bound.milliCores, amount.milliCores);
    bound.memoryMiB = std::max(bound.memoryMiB, amount.memoryMiB);
    bound.accelerators = std::max(bound.accelerators, amount.accelerators);
}

} // namespace

ServiceCapacity::ServiceCapacity(CostOfPreemption costOfPreemption, IsBelowShare isBelowShare)
    : costOfPreemption_(std::move(costOfPreemption)), isBelowShare_(std::move(isBelowShare))
{
}

std::vector<WorkerCapacity>::iterator ServiceCapacity::lowerBound(const std::string &worker)
{
    return std::lower_bound(workerCapacities_.begin(),
                            workerCapacities_.end(),
                            worker,
                            [](const WorkerCapacity &workerCapacity, const std::string &id) { return workerCapacity.id < id; });
}

void ServiceCapacity::update(WorkerState &worker, bool isUsable)
{
    const auto &id = worker.entry.id;
    auto found = lowerBound(id);
    if (found == workerCapacities_.end() || found->id != id) {
        rooms_.emplace(rooms_.begin() + (found - workerCapacities_.begin()));
        found = workerCapacities_.emplace(found);
        found->id = id;
    }
    auto &room = roomOf(*found);
    grownCapacities_.reset();
    const auto free = worker.free();
    const bool hasGrown = isUsable && (!found->isUsable || !free.fitsIn(room.free));
    found->worker = &worker;
    found->isUsable = isUsable;
    found->isCollected = false;
    room = { free, dominantShare(worker.used, worker.entry.capacity), worker.speed, isUsable };
    if (isUsable) {
        raiseTo(largestFree_, free);
        uncollected_.push_back(id);
    } else {
        found->reservations.clear();
    }
    if (hasGrown) {
        noteGrowth(id);
    }
}

void ServiceCapacity::remove(const std::string &worker)
{
    if (const auto found = lowerBound(worker); found != workerCapacities_.end() && found->id == worker) {
        rooms_.erase(rooms_.begin() + (found - workerCapacities_.begin()));
        workerCapacities_.erase(found);
        grownCapacities_.reset();
    }
}

ServiceCapacity::Room &ServiceCapacity::roomOf(const WorkerCapacity &workerCapacity)
{
    return rooms_[static_cast<std::size_t>(&workerCapacity - workerCapacities_.data())];
}

void ServiceCapacity::recordStart(WorkerCapacity &workerCapacity, const Resources &need, int priority)
{
    const bool hadPlan = workerCapacity.waitingPriority < WorkerCapacity::noPriority;
    workerCapacity.recordStart(need, priority);
    if (hadPlan && workerCapacity.waitingPriority == WorkerCapacity::noPriority) {
        noteGrowth(workerCapacity.id);
    }
    auto &room = roomOf(workerCapacity);
    room.free = workerCapacity.worker->free();
    room.utilization = dominantShare(workerCapacity.worker->used, workerCapacity.worker->entry.capacity);
}

void ServiceCapacity::tightenBounds()
{
    largestFree_ = Resources();
    totalFree_ = Resources();
    totalCapacity_ = Resources();
    largestCapacity_ = Resources();
    largestFreeAfterPreemption_.clear();
    for (auto &workerCapacity : workerCapacities_) {
        if (!workerCapacity.isUsable) {
            continue;
        }
        const auto &free = roomOf(workerCapacity).free;
        raiseTo(largestFree_, free);
        // A worker whose capacity has shrunk below its use has a negative amount free, which takes nothing of the others.
        totalFree_ += { std::max<std::int64_t>(free.milliCores, 0),
                        std::max<std::int64_t>(free.memoryMiB, 0),
                        std::max<std::int64_t>(free.accelerators, 0),
                        free.slots,
                        free.connections };
        const auto &capacity = workerCapacity.worker->entry.capacity;
        totalCapacity_ += capacity;
        largestCapacity_ = { std::max(largestCapacity_.milliCores, capacity.milliCores),
                             std::max(largestCapacity_.memoryMiB, capacity.memoryMiB),
                             std::max(largestCapacity_.accelerators, capacity.accelerators),
                             std::max(largestCapacity_.slots, capacity.slots),
                             std::max(largestCapacity_.connections, capacity.connections) };
        if (!workerCapacity.reservations.empty() || workerCapacity.waitingPriority < WorkerCapacity::noPriority) {
            workerCapacity.reservations.clear();
            workerCapacity.clearPlan();
            noteGrowth(workerCapacity.id);
        }
        // What a stop costs changes with the time.
        workerCapacity.isCollected = false;
        uncollected_.push_back(workerCapacity.id);
    }
}

std::vector<WorkerCapacity *> ServiceCapacity::findLeastUtilized(const Resources &need,
                                                                 std::size_t limit,
                                                                 const std::function<bool(const WorkerCapacity &)> &isWanted,
                                                                 const SpeedPreference &preference)
{
    using Entry = std::pair<double, std::size_t>;
    std::vector<Entry> heap;
    for (std::size_t index = 0; index < rooms_.size(); ++index) {
        if (rooms_[index].isUsable && need.fitsIn(rooms_[index].free)) {
            heap.emplace_back(rooms_[index].utilization + preference.cost(rooms_[index].speed), index);
        }
    }
    std::make_heap(heap.begin(), heap.end(), std::greater<Entry>());
    std::vector<WorkerCapacity *> result;
    while (!heap.empty() && result.size() < limit) {
        auto &workerCapacity = workerCapacities_[heap.front().second];
        if (isWanted(workerCapacity)) {
            result.push_back(&workerCapacity);
        }
        std::pop_heap(heap.begin(), heap.end(), std::greater<Entry>());
        heap.pop_back();
    }
    return result;
}

WorkerCapacity *ServiceCapacity::find(const std::string &worker)
{
    const auto found = lowerBound(worker);
    return found == workerCapacities_.end() || found->id != worker || !found->isUsable ? nullptr : &*found;
}

void ServiceCapacity::noteGrowth(const std::string &worker)
{
    ++growth_;
    grown_.push_back(worker);
    if (grown_.size() > maxKnownGrowth) {
        grown_.pop_front();
    }
    grownCapacities_.reset();
}

bool ServiceCapacity::visitGrown(std::uint64_t since, const std::function<bool(WorkerCapacity &)> &function)
{
    if (!grownCapacities_) {
        grownCapacities_.emplace();
        for (const auto &id : grown_) {
            grownCapacities_->push_back(find(id));
        }
    }
    const auto &known = *grownCapacities_;
    const auto count = std::min<std::size_t>(known.size(), growth_ - since);
    return std::any_of(known.end() - static_cast<std::ptrdiff_t>(count), known.end(), [&function](auto *workerCapacity) {
        return workerCapacity != nullptr && function(*workerCapacity);
    });
}

std::vector<WorkerCapacity *> ServiceCapacity::findGrownSince(std::uint64_t since)
{
    std::vector<WorkerCapacity *> result;
    visitGrown(since, [&result](WorkerCapacity &workerCapacity) {
        result.push_back(&workerCapacity);
        return false;
    });
    std::sort(result.begin(), result.end());
    result.erase(std::unique(result.begin(), result.end()), result.end());
    return result;
}

bool ServiceCapacity::hasGrownRoom(std::uint64_t since,
                                   const Resources &need,
                                   const std::function<bool(const WorkerCapacity &)> &isWanted)
{
    return growth_ != since && visitGrown(since, [&](WorkerCapacity &workerCapacity) {
               return need.fitsIn(roomOf(workerCapacity).free) && isWanted(workerCapacity);
           });
}

void ServiceCapacity::collect(WorkerCapacity &workerCapacity) const
{
    workerCapacity.collectRuns();
    for (auto &run : workerCapacity.preemptibleRuns) {
        const auto &started = workerCapacity.worker->runs.at(run.key);
        run.stop = costOfPreemption_(started);
        run.isBelowShare = isBelowShare_ && isBelowShare_(started);
    }
}

void ServiceCapacity::forgetCollectedRuns()
{
    for (auto &workerCapacity : workerCapacities_) {
        workerCapacity.isCollected = false;
        uncollected_.push_back(workerCapacity.id);
    }
}

void ServiceCapacity::collectPreemptibleRuns()
{
    for (const auto &id : std::exchange(uncollected_, {})) {
        auto *workerCapacity = find(id);
        if (workerCapacity == nullptr || workerCapacity->isCollected) {
            continue;
        }
        collect(*workerCapacity);
        for (auto &[right, bound] : largestFreeAfterPreemption_) {
            if (workerCapacity->hasStoppingRuns || workerCapacity->hasPreemptibleRuns(right)) {
                raiseTo(bound, workerCapacity->freeAfterPreemption(right));
            }
        }
    }
}

bool ServiceCapacity::mayHaveFreeAfterPreemption(const Resources &need, const PreemptionRight &right)
{
    const auto [found, isNew] = largestFreeAfterPreemption_.try_emplace(right);
    if (isNew) {
        for (const auto &workerCapacity : workerCapacities_) {
            if (workerCapacity.isUsable && (workerCapacity.hasStoppingRuns || workerCapacity.hasPreemptibleRuns(right))) {
                raiseTo(found->second, workerCapacity.freeAfterPreemption(right));
            }
        }
    }
    return need.fitsIn(found->second);
}

} // namespace auburndoor
