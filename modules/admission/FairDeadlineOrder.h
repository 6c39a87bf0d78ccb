#pragma once

#include "admission/QueueOrder.h"

#include <array>
#include <cstdint>
#include <map>
#include <set>

namespace auburndoor {

class ShareAccounts;

/** How long an entry may be passed over. */
struct FairDeadlineOptions
{
    /** Waiting time after which an entry of a class counts as overdue: Urgent, Normal, Background. */
    std::array<Milliseconds, 3> patience { Milliseconds(1000), Milliseconds(5000), Milliseconds(10'000) };
    /** One start out of so many goes to the entry that has waited longest among the overdue ones. */
    std::uint64_t overduePeriod = 8;
};

/**
    Urgent first, then the team with the lowest weighted dominant share, then the earliest deadline.

    Entries of a team that is at its quota are passed over until the team's use falls. So that Background work and teams with a high
    share never starve, one start out of overduePeriod goes to the entry that has waited longest past its patience: an entry starts
    after at most patience + overduePeriod x (overdue entries that arrived before it) starts that it fits.
*/
class FairDeadlineOrder : public QueueOrder
{
public:
    /** @param shares read for each decision and charged for each start; outlives this order */
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

    struct Class
    {
        /** Short and long work of a team are kept apart, so that neither hides the other behind its first entry. */
        std::map<TeamId, std::array<EntrySet, 2>> teams;
        std::set<const QueueEntry *, EarlierArrival> byArrival;
    };

    const QueueEntry *longestOverdue(TimePoint now) const;
    void appendClass(const Class &queue,
                     const QueueEntry *excluded,
                     std::size_t limit,
                     std::vector<const QueueEntry *> &result) const;

    ShareAccounts &shares_;
    const FairDeadlineOptions options_;
    std::array<Class, 3> classes_;
    std::uint64_t startCount_ = 0;
};

} // namespace auburndoor
