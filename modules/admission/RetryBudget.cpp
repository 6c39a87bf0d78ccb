#include "admission/RetryBudget.h"

#include <algorithm>

namespace auburndoor {

RetryBudget::RetryBudget(const Clock &clock, const RetryBudgetOptions &options)
    : clock_(clock), options_(options), available_(options.floorPerSecond), lastRefill_(clock.now())
{
}

void RetryBudget::recordRequest()
{
    constexpr double wholePercent = 100;
    const std::lock_guard lock(mutex_);
    available_ = std::min(options_.limit, available_ + options_.percent / wholePercent);
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
    // The floor fills up to one second's worth only: it does not add to the share of the requests.
    if (available_ < options_.floorPerSecond) {
        const auto seconds = std::chrono::duration<double>(now - lastRefill_).count();
        available_ = std::min(options_.floorPerSecond, available_ + seconds * options_.floorPerSecond);
    }
    lastRefill_ = now;
}

} // namespace auburndoor
