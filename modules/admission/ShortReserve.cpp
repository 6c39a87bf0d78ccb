#include "admission/ShortReserve.h"

#include "admission/ShareAccounts.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace auburndoor {

namespace {

/** Short work has many arrivals and swings within seconds; long work has few, and a shorter average would mostly show noise. */
constexpr std::array<double, 2> averagingSeconds { 2, 10 };
/** Two standard deviations of a Poisson number of tasks. */
constexpr double shortMargin = 2;
constexpr double longMargin = 1.1;
/** Long work keeps a part even when short work asks for everything. */
constexpr double highestPart = 0.9;

} // namespace

ShortReserve::ShortReserve(const Clock &clock, const ShareAccounts &shares) : clock_(clock), shares_(shares)
{
}

double ShortReserve::current(const Demand &demand, std::size_t kind, TimePoint now)
{
    const auto age = std::chrono::duration<double>(now - demand.lastUpdate).count();
    return demand.slots * std::exp(-age / averagingSeconds.at(kind));
}

void ShortReserve::recordArrival(const TeamId &team, bool isLong, Milliseconds expectedRunTime)
{
    const std::size_t kind = isLong ? 1 : 0;
    const std::lock_guard lock(mutex_);
    const auto now = clock_.now();
    auto &demand = demands_[team].at(kind);
    const auto seconds = std::chrono::duration<double>(expectedRunTime).count();
    demand.slots = current(demand, kind, now) + seconds / averagingSeconds.at(kind);
    demand.lastUpdate = now;
}

int ShortReserve::percent(long long slots, int declaredPercent) const
{
    if (slots <= 0) {
        return declaredPercent;
    }
    const std::lock_guard lock(mutex_);
    const auto now = clock_.now();
    std::map<TeamId, TeamDemand> demands;
    TeamDemand sum {};
    for (const auto &[team, demand] : demands_) {
        for (std::size_t kind = 0; kind < sum.size(); ++kind) {
            const auto slotsOfKind = current(demand.at(kind), kind, now);
            demands[team].at(kind) = slotsOfKind;
            sum.at(kind) += slotsOfKind;
        }
    }
    const auto total = static_cast<double>(slots);
    const bool isOverloaded = sum[0] + sum[1] > total;
    const auto reserved = isOverloaded ? shortDemandWithinShares(demands, total)
                                       : std::min(sum[0] + shortMargin * std::sqrt(sum[0]), total - longMargin * sum[1]);
    constexpr double wholePercent = 100;
    return std::max(declaredPercent, static_cast<int>(wholePercent * std::min(reserved / total, highestPart)));
}

double ShortReserve::shortDemandWithinShares(const std::map<TeamId, TeamDemand> &demands, double slots) const
{
    struct Team
    {
        double weight = 1;
        TeamDemand demand {};

        double level() const
        {
            return (demand[0] + demand[1]) / weight;
        }
    };
    std::vector<Team> teams;
    double weights = 0;
    for (const auto &[team, demand] : demands) {
        teams.push_back({ static_cast<double>(shares_.weight(team)), demand });
        weights += teams.back().weight;
    }
    std::sort(teams.begin(), teams.end(), [](const Team &left, const Team &right) { return left.level() < right.level(); });
    // Max-min fairness: teams that ask for less than their share get it all, the others divide the rest by weight.
    double within = 0;
    for (const auto &team : teams) {
        const auto share = std::min(team.level(), slots / weights) * team.weight;
        within += std::min(team.demand[0], share);
        slots -= share;
        weights -= team.weight;
    }
    return within;
}

} // namespace auburndoor
