#include "admission/FifoOrder.h"

#include <iterator>

namespace auburndoor {

void FifoOrder::add(const QueueEntry &entry)
{
    entries_.emplace(std::pair(entry.arrival, entry.id), &entry);
}

void FifoOrder::remove(const QueueEntry &entry)
{
    entries_.erase(std::pair(entry.arrival, entry.id));
}

std::vector<const QueueEntry *> FifoOrder::heads(TimePoint /*now*/, std::size_t limit) const
{
    std::vector<const QueueEntry *> result;
    for (auto entry = entries_.begin(); entry != entries_.end() && result.size() < limit; ++entry) {
        result.push_back(entry->second);
    }
    return result;
}

void FifoOrder::started(const QueueEntry & /*entry*/, std::size_t /*position*/)
{
}

std::size_t FifoOrder::countAhead(const QueueEntry &entry) const
{
    return static_cast<std::size_t>(std::distance(entries_.begin(), entries_.lower_bound(std::pair(entry.arrival, entry.id))));
}

} // namespace auburndoor
