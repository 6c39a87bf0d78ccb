#include "dispatch/LostRuns.h"

namespace auburndoor {

namespace {

// A run that goes on has a lease that somebody renews, and its worker is polled again within seconds of an outage.
constexpr Milliseconds retention { 60000 };

} // namespace

void LostRuns::add(const std::string &worker, const RunKey &key, LostRun run)
{
    const auto now = run.lostAt;
    while (!order_.empty() && now - order_.front().first > retention) {
        const auto found = runs_.find(order_.front().second);
        if (found != runs_.end() && found->second.lostAt == order_.front().first) {
            runs_.erase(found);
        }
        order_.pop_front();
    }
    const Key entry { worker, key };
    order_.emplace_back(now, entry);
    runs_[entry] = std::move(run);
}

const LostRun *LostRuns::find(const std::string &worker, const RunKey &key, std::int64_t incarnation) const
{
    const auto found = runs_.find({ worker, key });
    return found == runs_.end() || found->second.incarnation != incarnation ? nullptr : &found->second;
}

bool LostRuns::erase(const std::string &worker, const RunKey &key)
{
    return runs_.erase({ worker, key }) > 0;
}

} // namespace auburndoor
