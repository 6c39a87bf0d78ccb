#include "admission/ShareAccounts.h"

namespace auburndoor {

namespace {

/** The part of the quota that applies to the owned capacity, rounded up. A quota of zero stays zero: no limit. */
std::int64_t computeOwnedQuota(std::int64_t quota, std::int64_t owned, std::int64_t total)
{
    if (quota == 0 || total <= 0 || owned >= total) {
        return quota;
    }
    return (quota * owned + total - 1) / total;
}

bool isWithinLimit(std::int64_t quota, std::int64_t use)
{
    return quota == 0 || use <= quota;
}

} // namespace

void ShareAccounts::setTeams(const std::map<TeamId, TeamDeclaration> &teams)
{
    const std::lock_guard lock(mutex_);
    teams_ = teams;
}

void ShareAccounts::setCapacity(const Resources &owned, const Resources &total)
{
    const std::lock_guard lock(mutex_);
    owned_ = owned;
    total_ = total;
}

void ShareAccounts::setUse(const std::map<TeamId, Resources> &use)
{
    const std::lock_guard lock(mutex_);
    useByTeam_ = use;
}

void ShareAccounts::addUse(const TeamId &team, const Resources &need)
{
    const std::lock_guard lock(mutex_);
    useByTeam_[team] += need;
}

Resources ShareAccounts::use(const TeamId &team) const
{
    const auto found = useByTeam_.find(team);
    return found == useByTeam_.end() ? Resources {} : found->second;
}

double ShareAccounts::weightedShare(const TeamId &team) const
{
    const std::lock_guard lock(mutex_);
    const auto declared = teams_.find(team);
    return dominantShare(use(team), owned_) / (declared == teams_.end() ? 1 : declared->second.weight);
}

int ShareAccounts::weight(const TeamId &team) const
{
    const std::lock_guard lock(mutex_);
    const auto declared = teams_.find(team);
    return declared == teams_.end() ? 1 : declared->second.weight;
}

bool ShareAccounts::isWithinQuota(const TeamId &team, const Resources &need) const
{
    const std::lock_guard lock(mutex_);
    const auto declared = teams_.find(team);
    if (declared == teams_.end()) {
        return true;
    }
    const auto &quota = declared->second.quota;
    const auto after = use(team) + need;
    return isWithinLimit(computeOwnedQuota(quota.milliCores, owned_.milliCores, total_.milliCores), after.milliCores)
           && isWithinLimit(computeOwnedQuota(quota.memoryMiB, owned_.memoryMiB, total_.memoryMiB), after.memoryMiB)
           && isWithinLimit(computeOwnedQuota(quota.accelerators, owned_.accelerators, total_.accelerators), after.accelerators)
           && isWithinLimit(computeOwnedQuota(quota.slots, owned_.slots, total_.slots), after.slots)
           && isWithinLimit(computeOwnedQuota(quota.connections, owned_.connections, total_.connections), after.connections);
}

} // namespace auburndoor
