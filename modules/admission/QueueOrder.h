#pragma once

#include "admission/QueueEntry.h"

#include <cstddef>
#include <vector>

namespace auburndoor {

/**
    Holds the waiting entries of a WaitQueue and determines the order in which they are tried.

    Not thread-safe: WaitQueue calls it with its own lock held. Entries are stored as pointers and must not change until they are
    removed.
*/
class QueueOrder
{
public:
    virtual ~QueueOrder() = default;

    virtual void add(const QueueEntry &entry) = 0;

    virtual void remove(const QueueEntry &entry) = 0;

    /** The entries to try now, in order. @param limit largest number of entries to return */
    virtual std::vector<const QueueEntry *> heads(TimePoint now, std::size_t limit) const = 0;

    /** Called after an entry has been removed and started. @param position its index among heads() before its removal */
    virtual void started(const QueueEntry &entry, std::size_t position) = 0;

    /** Estimates the number of entries that start before the given one, which need not be in the queue. */
    virtual std::size_t countAhead(const QueueEntry &entry) const = 0;
};

} // namespace auburndoor
