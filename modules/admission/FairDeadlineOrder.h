#pragma once

#include "admission/QueueOrder.h"

#include <array>
#include <cstdint>
#include <map>
#include <set>

namespace auburndoor {

class ShareAccounts;

/** When waiting entries become overdue and how often an overdue one is started. */
struct FairDeadlineOptions
{
    /** Waiting time after which an entry is overdue, for each priority: Urgent, Normal, Background. */
    std::array<Milliseconds, 3> overdueAfter { Milliseconds(1000), Milliseconds(5000), Milliseconds(10'000) };
    /** One start in this many goes to the overdue entry that has waited longest. */
    std::uint64_t overdueStartInterval = 8;
};

/**
    Orders by priority, then by the lowest weighted dominant share of the team, then by the earliest deadline.

    Entries that would exceed the quota of their team are skipped until the team's use falls. One start in overdueStartInterval goes
    to the overdue entry that has waited longest, so that Background work and teams with a high share do not starve. Once overdue,
    the n-th of the overdue entries by arrival starts within n x overdueStartInterval starts at which it fits a worker.
*/
class FairDeadlineOrder : public QueueOrder
{
public:
    /** @param shares read for each decision and charged by started(); outlives this order */
    explicit FairDeadlineOrder(ShareAccounts &shares, const FairDeadlineOptions &options = {});

    void add(const QueueEntry &entry) override;
    void remove(const QueueEntry &entry) override;
    std::vector<const QueueEntry *> heads(TimePoint now, std::size_t limit) const override;
    void started(const QueueEntry &entry, std::size_t position) override;
    std::size_t countAhead(const QueueEntry &entry) const override;

private:
    struct EarlierDeadline
    {
        bool operator()(const QueueEntry *left, const QueueEntry *right) const;
    };

    struct EarlierArrival
    {
        bool operator()(const QueueEntry *left, const QueueEntry *right) const;
    };

    using EntrySet = std::set<const QueueEntry *, EarlierDeadline>;

    /** The entries of one priority. */
    struct PriorityClass
    {
        /** The short and the long entries of each team, in this order; separate, so that neither blocks the other. */
        std::map<TeamId, std::array<EntrySet, 2>> teams;
        std::set<const QueueEntry *, EarlierArrival> byArrival;
    };

    /** The overdue entry with the earliest arrival that may start now; null if there is none. */
    const QueueEntry *findLongestOverdue(TimePoint now) const;
    /** Appends the entries of a priority to the result in their order, up to the limit. Leaves out the excluded entry. */
    void appendClass(const PriorityClass &priorityClass,
                     const QueueEntry *excluded,
                     std::size_t limit,
                     std::vector<const QueueEntry *> &result) const;

    ShareAccounts &shares_;
    const FairDeadlineOptions options_;
    /** By priority. */
    std::array<PriorityClass, 3> classes_;
    std::uint64_t startCount_ = 0;
};

} // namespace auburndoor
