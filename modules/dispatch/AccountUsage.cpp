#include "dispatch/AccountUsage.h"

#include "dispatch/Run.h"

namespace auburndoor {

void AccountUsage::add(const RunClaim &claim)
{
    if (claim.account.empty()) {
        return;
    }
    auto &use = uses_[claim.account];
    use.amount += claim.accountNeed;
    ++use.runs;
}

void AccountUsage::remove(const RunClaim &claim)
{
    const auto found = uses_.find(claim.account);
    if (found == uses_.end()) {
        return;
    }
    found->second.amount -= claim.accountNeed;
    if (--found->second.runs == 0) {
        uses_.erase(found);
    }
}

Resources AccountUsage::of(const std::string &account) const
{
    const auto found = uses_.find(account);
    return found == uses_.end() ? Resources() : found->second.amount;
}

} // namespace auburndoor
