#pragma once

#include "admission/QueueEntry.h"

#include <cstddef>
#include <vector>

namespace auburndoor {

/**
    Holds the entries that wait and says in which order they are to be tried.

    An order is not synchronised: WaitQueue calls it under its own lock. Entries are kept by pointer and stay unchanged until they
    are removed.
*/
class QueueOrder
{
public:
    virtual ~QueueOrder() = default;

    virtual void add(const QueueEntry &entry) = 0;

    virtual void remove(const QueueEntry &entry) = 0;

    /** The first entries in the order in which they are to be tried now. @param limit at most so many */
    virtual std::vector<const QueueEntry *> heads(TimePoint now, std::size_t limit) const = 0;

    /** Tells that an entry has been started; it has been removed before. @param position its place among heads(), from zero */
    virtual void started(const QueueEntry &entry, std::size_t position) = 0;

    /** An estimate of the number of entries that start before the given one, which need not be in the queue. */
    virtual std::size_t countAhead(const QueueEntry &entry) const = 0;
};

} // namespace auburndoor
