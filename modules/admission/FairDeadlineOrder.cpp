#include "admission/FairDeadlineOrder.h"

#include "admission/ShareAccounts.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace auburndoor {

bool FairDeadlineOrder::EarlierDeadline::operator()(const QueueEntry *left, const QueueEntry *right) const
{
    return std::tie(left->deadline, left->arrival, left->id) < std::tie(right->deadline, right->arrival, right->id);
}

bool FairDeadlineOrder::EarlierArrival::operator()(const QueueEntry *left, const QueueEntry *right) const
{
    return std::tie(left->arrival, left->id) < std::tie(right->arrival, right->id);
}

FairDeadlineOrder::FairDeadlineOrder(ShareAccounts &shares, const FairDeadlineOptions &options) : shares_(shares), options_(options)
{
}

void FairDeadlineOrder::add(const QueueEntry &entry)
{
    auto &priorityClass = classes_.at(static_cast<std::size_t>(entry.priority));
    priorityClass.byArrival.insert(&entry);
    priorityClass.teams[entry.team].at(entry.isLong ? 1 : 0).insert(&entry);
}

void FairDeadlineOrder::remove(const QueueEntry &entry)
{
    auto &priorityClass = classes_.at(static_cast<std::size_t>(entry.priority));
    priorityClass.byArrival.erase(&entry);
    const auto team = priorityClass.teams.find(entry.team);
    if (team == priorityClass.teams.end()) {
        return;
    }
    team->second.at(entry.isLong ? 1 : 0).erase(&entry);
    if (team->second[0].empty() && team->second[1].empty()) {
        priorityClass.teams.erase(team);
    }
}

const QueueEntry *FairDeadlineOrder::findLongestOverdue(TimePoint now) const
{
    const QueueEntry *longest = nullptr;
    for (std::size_t priority = 0; priority < classes_.size(); ++priority) {
        const auto &byArrival = classes_.at(priority).byArrival;
        for (const auto *entry : byArrival) {
            if (now < entry->arrival + options_.overdueAfter.at(priority)) {
                break;
            }
            if (now < entry->latestStart() && shares_.isWithinQuota(entry->team, entry->need)) {
                longest = longest == nullptr || EarlierArrival()(entry, longest) ? entry : longest;
                break;
            }
        }
    }
    return longest;
}

std::vector<const QueueEntry *> FairDeadlineOrder::heads(TimePoint now, std::size_t limit) const
{
    std::vector<const QueueEntry *> result;
    const bool isOverdueStart = startCount_ % options_.overdueStartInterval == options_.overdueStartInterval - 1;
    const auto *overdue = isOverdueStart ? findLongestOverdue(now) : nullptr;
    if (overdue != nullptr && limit > 0) {
        result.push_back(overdue);
    }
    for (const auto &priorityClass : classes_) {
        appendClass(priorityClass, overdue, limit, result);
    }
    return result;
}

void FairDeadlineOrder::appendClass(const PriorityClass &priorityClass,
                                    const QueueEntry *excluded,
                                    std::size_t limit,
                                    std::vector<const QueueEntry *> &result) const
{
    using Iterator = EntrySet::const_iterator;
    struct Cursor
    {
        double share = 0;
        TeamId team;
        std::array<Iterator, 2> next;
        std::array<Iterator, 2> end;
    };
    std::vector<Cursor> cursors;
    for (const auto &[team, entriesByLength] : priorityClass.teams) {
        cursors.push_back({ shares_.weightedShare(team),
                            team,
                            { entriesByLength[0].begin(), entriesByLength[1].begin() },
                            { entriesByLength[0].end(), entriesByLength[1].end() } });
    }
    std::stable_sort(
        cursors.begin(), cursors.end(), [](const Cursor &left, const Cursor &right) { return left.share < right.share; });
    // Each pass takes the next short and the next long entry of each team, so that neither a single team nor long work that does
    // not fit uses up the limit.
    for (bool hasMore = true; hasMore && result.size() < limit;) {
        hasMore = false;
        for (auto &cursor : cursors) {
            std::vector<const QueueEntry *> nextEntries;
            for (std::size_t lengthIndex = 0; lengthIndex < cursor.next.size(); ++lengthIndex) {
                if (cursor.next.at(lengthIndex) != cursor.end.at(lengthIndex)) {
                    nextEntries.push_back(*cursor.next.at(lengthIndex)++);
                }
            }
            std::sort(nextEntries.begin(), nextEntries.end(), EarlierDeadline());
            hasMore = hasMore || !nextEntries.empty();
            for (const auto *entry : nextEntries) {
                if (result.size() < limit && entry != excluded && shares_.isWithinQuota(cursor.team, entry->need)) {
                    result.push_back(entry);
                }
            }
        }
    }
}

void FairDeadlineOrder::started(const QueueEntry &entry, std::size_t /*position*/)
{
    ++startCount_;
    shares_.addUse(entry.team, entry.need);
}

std::size_t FairDeadlineOrder::countAhead(const QueueEntry &entry) const
{
    const auto lengthIndex = entry.isLong ? 1U : 0U;
    const auto priority = static_cast<std::size_t>(entry.priority);
    std::size_t ahead = 0;
    for (std::size_t higher = 0; higher < priority; ++higher) {
        for (const auto &[team, entriesByLength] : classes_.at(higher).teams) {
            ahead += entriesByLength.at(lengthIndex).size();
        }
    }
    const auto &teams = classes_.at(priority).teams;
    std::size_t aheadInTeam = 0;
    if (const auto found = teams.find(entry.team); found != teams.end()) {
        const auto &entries = found->second.at(lengthIndex);
        // Most arrivals have the latest deadline of their team; then nothing has to be counted.
        const bool isLast = entries.empty() || EarlierDeadline()(*entries.rbegin(), &entry);
        aheadInTeam = isLast ? entries.size()
                             : static_cast<std::size_t>(std::distance(entries.begin(), entries.lower_bound(&entry)));
    }
    ahead += aheadInTeam;
    // While this team starts its entries up to this one, the other teams start theirs in proportion to their weights.
    const double rounds = static_cast<double>(aheadInTeam + 1) / shares_.weight(entry.team);
    for (const auto &[team, entriesByLength] : teams) {
        if (team != entry.team) {
            const auto startsOfTeam = static_cast<std::size_t>(rounds * shares_.weight(team));
            ahead += std::min(entriesByLength.at(lengthIndex).size(), std::max<std::size_t>(1, startsOfTeam));
        }
    }
    return ahead;
}

} // namespace auburndoor
