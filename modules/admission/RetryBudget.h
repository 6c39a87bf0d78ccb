#pragma once

#include "core/Clock.h"

#include <mutex>

namespace auburndoor {

/** Number of retries that are allowed. */
struct RetryBudgetOptions
{
    /** Retries for each 100 requests. */
    double requestPercent = 10;
    /** Retries per second that are allowed with any number of requests, so that an instance with few requests can retry. */
    double minimumPerSecond = 1;
    /** Largest number of unused retries that are saved. */
    double savedRetryLimit = 20;
};

/**
    Limits retries to a share of the requests, so that retries do not multiply the load when many requests fail.

    All members may be called from any thread.
*/
class RetryBudget
{
public:
    explicit RetryBudget(const Clock &clock, const RetryBudgetOptions &options = {});

    /** Adds the share of a retry that a new request allows. */
    void recordRequest();

    /** Takes one retry from the budget. @return false if less than one is left: FailureReason::RetryBudgetSpent */
    bool takeRetry();

private:
    /** Adds the retries of minimumPerSecond for the time since the last call, up to those of one second. */
    void refill();

    const Clock &clock_;
    const RetryBudgetOptions options_;
    std::mutex mutex_;
    /** Retries that may be made now. */
    double available_;
    TimePoint lastRefill_;
};

} // namespace auburndoor
