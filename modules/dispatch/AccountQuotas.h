#pragma once

#include "core/Clock.h"
#include "core/Resources.h"

#include <map>
#include <string>

namespace auburndoor {

class AccountUsage;
struct DesiredState;
struct StepState;

/**
    What each client account may still start, by the desired state in force and by what the account has on all workers.

    An account that the desired state no longer names keeps its last limit, since its jobs go on. Used on the loop's thread.
*/
class AccountQuotas
{
public:
    /** @param usage what the accounts have on all workers; has to outlive this */
    explicit AccountQuotas(const AccountUsage &usage);

    /** Takes over the limits of a version of the desired state. Without any version, no task of an account may start. */
    void setDesiredState(const DesiredState &desiredState);

    /** True if some account has a limit, or the limits are not known. */
    bool hasLimits() const;

    /**
        How many more tasks of the step may start under the limit of its job's account; most for a job without an account.

        @param most the largest result
    */
    int countStartable(const StepState &step, int most, TimePoint now) const;

    /** True if the step has to wait for its account's limit: no task of it may start, or not all members of a gang. */
    bool isAtLimit(const StepState &step, TimePoint now) const;

    /** The limits of all accounts that a desired state has named, by account. */
    const std::map<std::string, Resources> &limits() const
    {
        return limits_;
    }

    /** What the account has, as it counts for its limit. */
    Resources use(const std::string &account) const;

private:
    const AccountUsage &usage_;
    std::map<std::string, Resources> limits_;
    bool isKnown_ = false;
    bool hasLimits_ = true;
};

} // namespace auburndoor
