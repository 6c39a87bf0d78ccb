#pragma once

#include "core/Clock.h"

#include <map>
#include <string>

namespace auburndoor {

class AccountQuotas;

/** Logs when accounts reach their limits and when they leave them, and keeps how many tasks wait for that. Used on the loop's
 * thread. */
class AccountLimitReport
{
public:
    /** Follows which tasks wait for the limits of their accounts. @param waitingTasks their number by account, without zeros */
    void update(TimePoint now, const std::map<std::string, int> &waitingTasks, const AccountQuotas &quotas);

    /** The number of tasks that wait for the limit of their account; 0 if none does. */
    int waitingTasks(const std::string &account) const;

private:
    struct Wait
    {
        TimePoint since;
        int tasks = 0;
    };

    std::map<std::string, Wait> waits_;
};

} // namespace auburndoor
