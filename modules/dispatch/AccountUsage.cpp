#include "dispatch/AccountUsage.h"

#include "dispatch/Run.h"

namespace auburndoor {

void AccountUsage::add(const RunKey &key, const RunClaim &claim)
{
    if (claim.account.empty()) {
        return;
    }
    auto &use = uses_[claim.account];
    use.amount += claim.accountNeed;
    ++use.runs;
    ++runsByJob_[key.task.job];
}

void AccountUsage::remove(const RunKey &key, const RunClaim &claim)
{
    const auto found = uses_.find(claim.account);
    if (found == uses_.end()) {
        return;
    }
    found->second.amount -= claim.accountNeed;
    if (--found->second.runs == 0) {
        uses_.erase(found);
    }
    if (const auto job = runsByJob_.find(key.task.job); job != runsByJob_.end() && --job->second == 0) {
        runsByJob_.erase(job);
    }
}

Resources AccountUsage::of(const std::string &account) const
{
    const auto found = uses_.find(account);
    return found == uses_.end() ? Resources() : found->second.amount;
}

bool AccountUsage::hasRuns(const std::string &job) const
{
    return runsByJob_.contains(job);
}

} // namespace auburndoor
