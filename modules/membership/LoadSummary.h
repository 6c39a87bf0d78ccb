#pragma once

#include "core/Identifier.h"

#include <vector>

namespace auburndoor {

/** The free room of one instance in one pool, as told to its peers. */
struct PoolSummary
{
    ServiceId service;
    /** Requests of the declared need that can start now. */
    int freePlaces = 0;
    /** Requests that wait in the instance's own queue. */
    int queued = 0;
    /** The part of the free places on workers that run something already; see chooseOwner(). */
    int partialPlaces = 0;
};

/** What an instance tells its peers about its room: one entry for each pool in which it owns workers. */
struct LoadSummary
{
    /** Rises with each change, so that an older summary that arrives late is dropped. */
    long long sequence = 0;
    std::vector<PoolSummary> pools;
};

} // namespace auburndoor
