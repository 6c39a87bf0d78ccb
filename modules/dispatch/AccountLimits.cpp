#include "dispatch/AccountLimits.h"

#include "workload/JobSpec.h"

#include <algorithm>
#include <array>
#include <cstdint>

namespace auburndoor {

namespace {

using Amount = std::int64_t Resources::*;

// All amounts of Resources: a limit of slots or connections works as the others.
constexpr std::array<Amount, 5> amounts { &Resources::milliCores,
                                          &Resources::memoryMiB,
                                          &Resources::accelerators,
                                          &Resources::slots,
                                          &Resources::connections };

} // namespace

bool AccountLimits::isLimited(const Resources &limit)
{
    return std::any_of(amounts.begin(), amounts.end(), [&limit](Amount amount) { return limit.*amount > 0; });
}

int AccountLimits::countFitting(const Resources &use, const Resources &limit, const Resources &need, int most)
{
    std::int64_t count = std::max(most, 0);
    for (const auto amount : amounts) {
        if (limit.*amount <= 0) {
            continue;
        }
        const auto room = limit.*amount - use.*amount;
        if (room < 0) {
            return 0;
        }
        if (need.*amount > 0) {
            count = std::min(count, room / (need.*amount));
        }
    }
    return static_cast<int>(count);
}

std::string AccountLimits::describeOversized(const JobSpec &job, const Resources &limit)
{
    for (std::size_t index = 0; index < job.steps.size(); ++index) {
        const auto &step = job.steps[index];
        // Counted by division: the product of a number of tasks and an amount could leave its type.
        const int together = step.isGang ? step.taskCount : 1;
        if (countFitting(Resources(), limit, step.need, together) < together) {
            return (step.isGang ? "the gang of " + std::to_string(together) + " tasks of step " : "a task of step ")
                   + std::to_string(index) + " needs " + step.need.text() + (step.isGang ? " for each task" : "")
                   + ", and the limit of the account is " + limit.text();
        }
    }
    return {};
}

} // namespace auburndoor
