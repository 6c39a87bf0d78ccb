#include "dispatch/AccountLimitReport.h"

#include "dispatch/AccountQuotas.h"
#include "observability/EventLog.h"

namespace auburndoor {

void AccountLimitReport::update(TimePoint now, const std::map<std::string, int> &waitingTasks, const AccountQuotas &quotas)
{
    const auto log = [&quotas](const char *event, const std::string &account, int tasks, Milliseconds duration) {
        const auto limit = quotas.limits().find(account);
        EventLog::writeRateLimited(event,
                                   { { "account", account },
                                     { "used", quotas.use(account).text() },
                                     { "limit", limit == quotas.limits().end() ? "not known" : limit->second.text() },
                                     { "tasks", tasks },
                                     { "for_ms", duration.count() } });
    };
    std::erase_if(waits_, [&](const auto &wait) {
        if (waitingTasks.contains(wait.first)) {
            return false;
        }
        log("account.below_limit",
            wait.first,
            wait.second.tasks,
            std::chrono::duration_cast<Milliseconds>(now - wait.second.since));
        return true;
    });
    for (const auto &[account, tasks] : waitingTasks) {
        const auto [found, isNew] = waits_.try_emplace(account, Wait { now, tasks });
        found->second.tasks = tasks;
        if (isNew) {
            log("account.at_limit", account, tasks, Milliseconds(0));
        }
    }
}

int AccountLimitReport::waitingTasks(const std::string &account) const
{
    const auto found = waits_.find(account);
    return found == waits_.end() ? 0 : found->second.tasks;
}

} // namespace auburndoor
