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
    auto &queue = classes_.at(static_cast<std::size_t>(entry.priority));
    queue.byArrival.insert(&entry);
    queue.teams[entry.team].at(entry.isLong ? 1 : 0).insert(&entry);
}

void FairDeadlineOrder::remove(const QueueEntry &entry)
{
    auto &queue = classes_.at(static_cast<std::size_t>(entry.priority));
    queue.byArrival.erase(&entry);
    const auto team = queue.teams.find(entry.team);
    if (team == queue.teams.end()) {
        return;
    }
    team->second.at(entry.isLong ? 1 : 0).erase(&entry);
    if (team->second[0].empty() && team->second[1].empty()) {
        queue.teams.erase(team);
    }
}

const QueueEntry *FairDeadlineOrder::longestOverdue(TimePoint now) const
{
    const QueueEntry *longest = nullptr;
    for (std::size_t priority = 0; priority < classes_.size(); ++priority) {
        const auto &byArrival = classes_.at(priority).byArrival;
        for (const auto *entry : byArrival) {
            if (now < entry->arrival + options_.patience.at(priority)) {
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
    const bool isOverdueTurn = startCount_ % options_.overduePeriod == options_.overduePeriod - 1;
    const auto *overdue = isOverdueTurn ? longestOverdue(now) : nullptr;
    if (overdue != nullptr && limit > 0) {
        result.push_back(overdue);
    }
    for (const auto &queue : classes_) {
        appendClass(queue, overdue, limit, result);
    }
    return result;
}

void FairDeadlineOrder::appendClass(const Class &queue,
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
    for (const auto &[team, kinds] : queue.teams) {
        cursors.push_back(
            { shares_.weightedShare(team), team, { kinds[0].begin(), kinds[1].begin() }, { kinds[0].end(), kinds[1].end() } });
    }
    std::stable_sort(
        cursors.begin(), cursors.end(), [](const Cursor &left, const Cursor &right) { return left.share < right.share; });
    // Each pass takes the next short and the next long entry of each team, so that neither a team nor long work that does not fit
    // fills the part of the queue that is looked at.
    for (bool isMore = true; isMore && result.size() < limit;) {
        isMore = false;
        for (auto &cursor : cursors) {
            std::vector<const QueueEntry *> pair;
            for (std::size_t kind = 0; kind < cursor.next.size(); ++kind) {
                if (cursor.next.at(kind) != cursor.end.at(kind)) {
                    pair.push_back(*cursor.next.at(kind)++);
                }
            }
            std::sort(pair.begin(), pair.end(), EarlierDeadline());
            isMore = isMore || !pair.empty();
            for (const auto *entry : pair) {
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
    const auto kind = entry.isLong ? 1U : 0U;
    const auto priority = static_cast<std::size_t>(entry.priority);
    std::size_t ahead = 0;
    for (std::size_t higher = 0; higher < priority; ++higher) {
        for (const auto &[team, kinds] : classes_.at(higher).teams) {
            ahead += kinds.at(kind).size();
        }
    }
    const auto &teams = classes_.at(priority).teams;
    std::size_t own = 0;
    if (const auto found = teams.find(entry.team); found != teams.end()) {
        const auto &entries = found->second.at(kind);
        // Most arrivals have the latest deadline so far, which spares the count.
        const bool isLast = entries.empty() || EarlierDeadline()(*entries.rbegin(), &entry);
        own = isLast ? entries.size() : static_cast<std::size_t>(std::distance(entries.begin(), entries.lower_bound(&entry)));
    }
    ahead += own;
    const double turns = static_cast<double>(own + 1) / shares_.weight(entry.team);
    for (const auto &[team, kinds] : teams) {
        if (team != entry.team) {
            const auto turnsOfTeam = static_cast<std::size_t>(turns * shares_.weight(team));
            ahead += std::min(kinds.at(kind).size(), std::max<std::size_t>(1, turnsOfTeam));
        }
    }
    return ahead;
}

} // namespace auburndoor
