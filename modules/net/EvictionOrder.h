#pragma once

#include "core/Clock.h"

#include <cstddef>
#include <vector>

namespace auburndoor {

/** A connection that may be closed to make room for others: no handler has one of its requests. */
struct EvictionCandidate
{
    std::size_t index = 0;
    /** What it holds of the budget. */
    std::size_t bytes = 0;
    /** How long it has waited for a request, or its request has been arriving. */
    Milliseconds age { 0 };
    /** It waits for a request after others that were answered. */
    bool isKept = false;
};

/** Chooses the connections that are closed to make room. */
struct EvictionOrder
{
    /** Younger ones are not closed: an ordinary request arrives within this time. */
    static constexpr Milliseconds minimumAge { 1000 };

    /**
        Chooses connections, first those that have never had an answer.

        @param isForMemory      the largest go first, until an eighth of the capacity is free; otherwise the oldest
        @param capacity         of the budget, in bytes
        @param connectionCount  the open connections, of which a sixteenth is closed at most if it isn't for memory
        @return                 their indices
    */
    static std::vector<std::size_t> choose(std::vector<EvictionCandidate> candidates,
                                           bool isForMemory,
                                           std::size_t capacity,
                                           std::size_t connectionCount);
};

} // namespace auburndoor
