#include "dispatch/FairShares.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace auburndoor {

namespace {

// As dominantShare(): connections are left out.
constexpr std::size_t resourceCount = 4;
using Shares = std::array<double, resourceCount>;

// The result of a bisection is as exact as needed after this many steps: a level is compared with sums of whole tasks.
constexpr int bisectionSteps = 50;

Shares sharesOf(const Resources &amount, const Resources &capacity)
{
    const auto share = [](std::int64_t used, std::int64_t available) {
        return available > 0 ? static_cast<double>(used) / static_cast<double>(available) : 0.0;
    };
    return { share(amount.milliCores, capacity.milliCores),
             share(amount.memoryMiB, capacity.memoryMiB),
             share(amount.accelerators, capacity.accelerators),
             share(amount.slots, capacity.slots) };
}

/** One account while the level rises. */
struct Filling
{
    double weight = 1.0;
    /** All that it has and wants, of each resource. */
    Shares demand {};
    double dominant = 0;
    /** The level per weight at which it was stopped; infinite while it is not. */
    double level = std::numeric_limits<double>::infinity();

    /** The part of its demand that is served at a level per weight. */
    double servedPart(double levelPerWeight) const
    {
        return dominant > 0 ? std::min(1.0, weight * std::min(level, levelPerWeight) / dominant) : 1.0;
    }
};

double usedOf(std::size_t resource, const std::vector<Filling> &fillings, double levelPerWeight)
{
    double sum = 0;
    for (const auto &filling : fillings) {
        sum += filling.demand[resource] * filling.servedPart(levelPerWeight);
    }
    return sum;
}

/** The highest level per weight at which the resource is not used up; infinite if it never is. */
double highestLevel(std::size_t resource, const std::vector<Filling> &fillings)
{
    constexpr double tolerance = 1e-9;
    double high = 0;
    for (const auto &filling : fillings) {
        high = std::max(high, filling.dominant / filling.weight);
    }
    if (usedOf(resource, fillings, high) <= 1.0 + tolerance) {
        return std::numeric_limits<double>::infinity();
    }
    double low = 0;
    for (int step = 0; step < bisectionSteps; ++step) {
        const double middle = (low + high) / 2;
        (usedOf(resource, fillings, middle) <= 1.0 ? low : high) = middle;
    }
    return low;
}

/** Raises the level until each resource that is scarce is used up. @return the level per weight of the scarcest one; infinite if
 * none is */
double raiseLevels(std::vector<Filling> &fillings)
{
    constexpr double infinite = std::numeric_limits<double>::infinity();
    double first = infinite;
    std::array<bool, resourceCount> isUsedUp {};
    for (std::size_t round = 0; round < resourceCount; ++round) {
        std::size_t scarcest = resourceCount;
        double level = infinite;
        for (std::size_t resource = 0; resource < resourceCount; ++resource) {
            const double highest = isUsedUp[resource] ? infinite : highestLevel(resource, fillings);
            if (highest < level) {
                level = highest;
                scarcest = resource;
            }
        }
        if (scarcest == resourceCount) {
            break;
        }
        isUsedUp[scarcest] = true;
        first = std::min(first, level);
        for (auto &filling : fillings) {
            filling.level = filling.demand[scarcest] > 0 ? std::min(filling.level, level) : filling.level;
        }
    }
    return first;
}

} // namespace

ShareLevels FairShares::compute(const Resources &capacity, const std::vector<ShareDemand> &demands)
{
    std::vector<Filling> fillings;
    for (const auto &demand : demands) {
        Filling filling;
        filling.weight = demand.weight;
        filling.demand = sharesOf(demand.use + demand.waiting, capacity);
        filling.dominant = *std::max_element(filling.demand.begin(), filling.demand.end());
        fillings.push_back(filling);
    }
    ShareLevels result;
    const double unit = raiseLevels(fillings);
    if (std::isinf(unit)) {
        return result;
    }
    result.unit = unit;
    for (const auto &filling : fillings) {
        result.levels.push_back(filling.weight * filling.level);
    }
    return result;
}

} // namespace auburndoor
