#pragma once

#include "core/Identifier.h"

#include <vector>

namespace auburndoor {

/** The free capacity and the queue of one instance in the pool of one service, as announced to its peers. */
struct PoolSummary
{
    ServiceId service;
    /** Number of requests with the declared need that can start now. */
    int freePlaces = 0;
    /** Number of requests that wait in the instance's own queue. */
    int queued = 0;
    /** Number of the free places on workers that already run something; see chooseOwner(). */
    int partialPlaces = 0;
};

/** The load that an instance announces to its peers, with one entry for each pool in which it owns workers. */
struct LoadSummary
{
    /** Rises with each change of the instance's announced state, so that an older message that arrives late is dropped. */
    long long sequence = 0;
    std::vector<PoolSummary> pools;
};

} // namespace auburndoor
