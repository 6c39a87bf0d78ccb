#include "admission/RetryBudget.h"

#include <algorithm>

namespace auburndoor {

RetryBudget::RetryBudget(const Clock &clock, const RetryBudgetOptions &options)
    : clock_(clock), options_(options), available_(options.minimumPerSecond), lastRefill_(clock.now())
{
}

void RetryBudget::recordRequest()
{
    constexpr double wholePercent = 100;
    const std::lock_guard lock(mutex_);
    available_ = std::min(options_.savedRetryLimit, available_ + options_.requestPercent / wholePercent);
}

bool RetryBudget::takeRetry()
{
    const std::lock_guard lock(mutex_);
    refill();
    if (available_ < 1) {
        return false;
    }
    available_ -= 1;
    return true;
}

void RetryBudget::refill()
{
    const auto now = clock_.now();
    // Fills up to the minimum of one second only, so that it does not add to a budget that requests have filled.
    if (available_ < options_.minimumPerSecond) {
        const auto seconds = std::chrono::duration<double>(now - lastRefill_).count();
        available_ = std::min(options_.minimumPerSecond, available_ + seconds * options_.minimumPerSecond);
    }
    lastRefill_ = now;
}

} // namespace auburndoor
