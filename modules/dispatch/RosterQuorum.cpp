#include "dispatch/RosterQuorum.h"

#include <algorithm>
#include <functional>

namespace auburndoor {

void RosterQuorum::addInherited(const std::string &worker)
{
    workers_.insert(worker);
    if (unreachedInherited_.insert(worker).second) {
        ++inheritedCount_;
    }
}

bool RosterQuorum::contains(const std::string &worker) const
{
    return workers_.contains(worker);
}

void RosterQuorum::add(const std::string &worker)
{
    workers_.insert(worker);
}

void RosterQuorum::remove(const std::string &worker)
{
    workers_.erase(worker);
}

void RosterQuorum::noteReached(const std::string &worker)
{
    unreachedInherited_.erase(worker);
}

std::size_t RosterQuorum::inheritedCount() const
{
    return inheritedCount_;
}

std::size_t RosterQuorum::unreachedInheritedCount() const
{
    return unreachedInherited_.size();
}

bool RosterQuorum::hasReachedInheritedMajority() const
{
    const auto reached = inheritedCount_ - unreachedInherited_.size();
    return reached > inheritedCount_ / 2 || inheritedCount_ == 0;
}

std::optional<TimePoint> RosterQuorum::quorumTime(std::vector<TimePoint> acceptedAt) const
{
    const auto half = (workers_.size() + 1) / 2;
    if (half == 0 || acceptedAt.size() < half) {
        return std::nullopt;
    }
    const auto position = acceptedAt.begin() + static_cast<std::ptrdiff_t>(half - 1);
    std::nth_element(acceptedAt.begin(), position, acceptedAt.end(), std::greater<>());
    return *position == TimePoint() ? std::nullopt : std::optional(*position);
}

} // namespace auburndoor
