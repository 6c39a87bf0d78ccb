#include "OverloadResult.h"

#include <algorithm>

double OverloadResult::cost() const
{
    double cost = 0;
    for (const auto &kind : kinds) {
        cost += kind.owed - kind.earned;
    }
    return cost;
}

double OverloadResult::worstKind() const
{
    double worst = 1;
    for (const auto &kind : kinds) {
        worst = std::min(worst, kind.served());
    }
    return worst;
}

double OverloadResult::worstAccount() const
{
    double worst = 1;
    for (const auto &[name, account] : accounts) {
        worst = std::min(worst, account.served());
    }
    return worst;
}

void OverloadResult::add(const OverloadResult &other)
{
    const auto addTo = [](Kind &kind, const Kind &added) {
        kind.owed += added.owed;
        kind.earned += added.earned;
        kind.jobs += added.jobs;
        kind.inTime += added.inTime;
    };
    kinds.resize(std::max(kinds.size(), other.kinds.size()));
    for (std::size_t kind = 0; kind < other.kinds.size(); ++kind) {
        addTo(kinds[kind], other.kinds[kind]);
    }
    addTo(large, other.large);
    for (const auto &[name, account] : other.accounts) {
        addTo(accounts[name], account);
    }
    urgentWait = std::max(urgentWait, other.urgentWait);
    starts += other.starts;
    stops += other.stops;
    discarded += other.discarded;
}
