#pragma once

#include "core/Resources.h"

#include <vector>

namespace auburndoor {

/** What an account has and wants of a service. */
struct ShareDemand
{
    /** Its share of scarce capacity, relative to the weights of the others; positive. */
    double weight = 1.0;
    /** What its runs occupy. */
    Resources use;
    /** What its waiting tasks would occupy. */
    Resources waiting;
};

/** Up to which dominant share of a service accounts are served before others. */
struct ShareLevels
{
    /** In the order of the demands; infinite for an account whose demand is met and that uses no scarce resource. */
    std::vector<double> levels;
    /** The level of an account of weight 1 that uses the scarcest resource. */
    double unit = 0;
};

/**
    Weighted max-min fairness over dominant shares, as in dominant resource fairness (DRF).

    The level of all accounts rises in the ratio of their weights until a resource is used up. What an account does not need is lent
    to the others by that. The accounts that use the resource keep that level, and the level of the others rises on. Pure.
*/
struct FairShares
{
    /** @param capacity of the service. @return empty levels if all demands fit together */
    static ShareLevels compute(const Resources &capacity, const std::vector<ShareDemand> &demands);
};

} // namespace auburndoor
