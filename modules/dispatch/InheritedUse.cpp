#include "dispatch/InheritedUse.h"

#include "dispatch/InheritedTasks.h"
#include "dispatch/JobState.h"
#include "dispatch/UnreadCapacity.h"

#include <algorithm>

namespace auburndoor {

namespace {

// Above each limit that the desired state may hold; sums are capped, since clients choose the amounts and the number of tasks.
constexpr std::int64_t maxAmount = 1'000'000'000'000'000;

void addCapped(std::int64_t &sum, std::int64_t amount, std::int64_t count)
{
    sum = count > 0 && amount > (maxAmount - sum) / count ? maxAmount : sum + amount * count;
}

} // namespace

void InheritedUse::add(const JobState &job)
{
    for (const auto &[number, occurrence] : job.occurrences) {
        for (const auto &step : occurrence.steps) {
            const auto &spec = step.spec();
            const auto unknown = std::count_if(
                step.tasks.begin(), step.tasks.end(), [](const Task &task) { return task.isIdle(); });
            add(job.spec.account, spec.need, spec.fillsIdleCapacity, unknown);
        }
    }
}

void InheritedUse::add(const InheritedTasks &tasks)
{
    for (const auto &step : tasks.steps) {
        add(tasks.account, step.need, step.fillsIdleCapacity, step.count);
    }
}

void InheritedUse::add(const std::string &account, const Resources &need, bool fillsIdleCapacity, std::int64_t count)
{
    if (count <= 0) {
        return;
    }
    auto &sum = sums_[account];
    addCapped(fillsIdleCapacity ? sum.idleMilliCores : sum.onWorkers.milliCores, need.milliCores, count);
    addCapped(sum.onWorkers.memoryMiB, need.memoryMiB, count);
    addCapped(sum.onWorkers.accelerators, need.accelerators, count);
    addCapped(sum.onWorkers.slots, need.slots, count);
    addCapped(sum.onWorkers.connections, need.connections, count);
}

std::map<std::string, Resources> InheritedUse::compute(const UnreadCapacity &capacity) const
{
    std::map<std::string, Resources> result;
    if (!capacity.hasWorkers) {
        return result;
    }
    for (const auto &[account, sum] : sums_) {
        auto use = sum.onWorkers;
        if (capacity.isKnown) {
            use.milliCores = std::min(use.milliCores, capacity.total.milliCores);
            use.memoryMiB = std::min(use.memoryMiB, capacity.total.memoryMiB);
            use.accelerators = std::min(use.accelerators, capacity.total.accelerators);
        }
        use.milliCores += sum.idleMilliCores;
        result[account] = use;
    }
    return result;
}

} // namespace auburndoor
