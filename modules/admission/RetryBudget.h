#pragma once

#include "core/Clock.h"

#include <mutex>

namespace auburndoor {

/** How many retries are allowed. */
struct RetryBudgetOptions
{
    /** Retries for each hundred requests. */
    double percent = 10;
    /** Retries a second that are allowed whatever the number of requests, so that a quiet instance can retry at all. */
    double floorPerSecond = 1;
    /** Unused retries that are kept for later. */
    double limit = 20;
};

/**
    Limits retries to a share of the requests, so that retries do not multiply the load when much fails at once.

    All members may be called from any thread.
*/
class RetryBudget
{
public:
    explicit RetryBudget(const Clock &clock, const RetryBudgetOptions &options = {});

    /** Counts a request; each adds its share of a retry to the budget. */
    void recordRequest();

    /** Takes one retry from the budget. @return false if it is spent: FailureReason::RetryBudgetSpent */
    bool takeRetry();

private:
    void refill();

    const Clock &clock_;
    const RetryBudgetOptions options_;
    std::mutex mutex_;
    double available_;
    TimePoint lastRefill_;
};

} // namespace auburndoor
