#include "dispatch/ReadySteps.h"

namespace auburndoor {

void ReadySteps::insert(const StepRank &rank, StepState &step)
{
    if (entries_.emplace(rank, &step).second) {
        ranksByJob_[rank.job].push_back(rank);
    }
}

void ReadySteps::removeJob(const std::string &job)
{
    const auto found = ranksByJob_.find(job);
    if (found == ranksByJob_.end()) {
        return;
    }
    // A rank of a step that was removed by itself has no entry any more.
    for (const auto &rank : found->second) {
        entries_.erase(rank);
    }
    ranksByJob_.erase(found);
}

ReadySteps::Entries::iterator ReadySteps::setRank(Entries::iterator entry, const StepRank &rank)
{
    const auto former = entry->first;
    auto &step = *entry->second;
    entries_.erase(entry);
    insert(rank, step);
    return entries_.upper_bound(former);
}

ReadySteps::Entries::iterator ReadySteps::erase(Entries::iterator entry)
{
    return entries_.erase(entry);
}

void ReadySteps::clear()
{
    entries_.clear();
    ranksByJob_.clear();
}

} // namespace auburndoor
