#include "dispatch/AdviceShares.h"

#include <algorithm>

namespace auburndoor {

namespace {

constexpr double defaultShare = 0.5;
// The default counts as much as an answer about this many workers.
constexpr double defaultWeight = 30;
// Counts are halved beyond this many workers, so that the share follows the service.
constexpr double maxAsked = 3000;
constexpr double minShare = 0.05;

} // namespace

void AdviceShares::add(const std::string &queue, std::size_t asked, std::size_t allowed)
{
    auto &count = counts_[queue];
    count.asked += static_cast<double>(asked);
    count.allowed += static_cast<double>(allowed);
    if (count.asked > maxAsked) {
        count.asked /= 2;
        count.allowed /= 2;
    }
}

double AdviceShares::allowedShare(const std::string &queue) const
{
    const auto found = counts_.find(queue);
    const auto count = found == counts_.end() ? Count() : found->second;
    return std::clamp((count.allowed + defaultShare * defaultWeight) / (count.asked + defaultWeight), minShare, 1.0);
}

} // namespace auburndoor
