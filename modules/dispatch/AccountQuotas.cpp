#include "dispatch/AccountQuotas.h"

#include "dispatch/AccountLimits.h"
#include "dispatch/AccountUsage.h"
#include "dispatch/JobState.h"
#include "workload/DesiredState.h"

#include <algorithm>

namespace auburndoor {

namespace {

// A version of the desired state is in force everywhere this long after the store has confirmed it. A process that knows it earlier
// than the owner may forward jobs of an account that is new to the owner, and with it the limit.
constexpr Milliseconds maxVersionDelay { 3000 };

} // namespace

AccountQuotas::AccountQuotas(const AccountUsage &usage) : usage_(usage)
{
}

void AccountQuotas::setDesiredState(const DesiredState &desiredState)
{
    if (desiredState.version == 0) {
        return;
    }
    isKnown_ = true;
    for (const auto &account : desiredState.accounts) {
        limits_[account.name] = account.limit;
    }
    hasLimits_ = std::any_of(
        limits_.begin(), limits_.end(), [](const auto &entry) { return AccountLimits::isLimited(entry.second); });
}

bool AccountQuotas::hasLimits() const
{
    return hasLimits_;
}

int AccountQuotas::countStartable(const StepState &step, int most, TimePoint now) const
{
    const auto &account = step.job->spec.account;
    if (account.empty()) {
        return most;
    }
    const auto found = limits_.find(account);
    if (found == limits_.end()) {
        const bool mayBeNew = !isKnown_ || now - step.job->receivedAt < maxVersionDelay;
        return mayBeNew ? 0 : most;
    }
    return AccountLimits::countFitting(use(account), found->second, step.spec().need, most);
}

bool AccountQuotas::isAtLimit(const StepState &step, TimePoint now) const
{
    if (step.job->spec.account.empty()) {
        return false;
    }
    const int fewest = step.spec().isGang ? static_cast<int>(step.tasks.size()) : 1;
    return countStartable(step, fewest, now) < fewest;
}

Resources AccountQuotas::use(const std::string &account) const
{
    return usage_.of(account);
}

} // namespace auburndoor
