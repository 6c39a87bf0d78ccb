#pragma once

#include "core/Clock.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace auburndoor {

/** The sort key of a step among the steps that have tasks to place; the smallest is served first. */
struct StepRank
{
    /** It is a service that has lost tasks: they are few, and its users miss each of them. */
    bool isRepair = false;
    /** Its job is past its final deadline, so that it gains nothing from going before work that is not. */
    bool isLost = false;
    /** Its priority has got less of a scarce service than it keeps, see ScarcityOrder. */
    bool isOwed = false;
    int priority = 0;
    /** Its job cannot be in time any more, even if the step started now. */
    bool isLate = false;
    /** As ScarcityOrder::keyOf(); zero while room is not scarce. */
    std::int64_t scarcityKey = 0;
    TimePoint objective;
    std::string job;
    int occurrence = 0;
    int step = 0;
    /** Its account has its share of the scarce service already, see AccountShares. False for a repair. */
    bool isAboveShare = false;

    bool operator<(const StepRank &other) const
    {
        if (isRepair != other.isRepair) {
            return isRepair;
        }
        if (isLost != other.isLost) {
            return other.isLost;
        }
        if (isAboveShare != other.isAboveShare) {
            return other.isAboveShare;
        }
        if (isOwed != other.isOwed) {
            return isOwed;
        }
        return std::tie(priority, isLate, scarcityKey, objective, job, occurrence, step) < std::tie(
                   other.priority, other.isLate, other.scarcityKey, other.objective, other.job, other.occurrence, other.step);
    }
};

} // namespace auburndoor
