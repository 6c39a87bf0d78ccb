#pragma once

#include "dispatch/Run.h"
#include "net/Address.h"

#include <cstdint>
#include <string>
#include <vector>

namespace auburndoor {

/**
    The end of an incarnation of a worker that was not draining, shown by a later incarnation under its id or by another worker at
   its address.
*/
struct WorkerCrash
{
    std::string worker;
    Address address;
    /** The incarnation that ended. */
    std::int64_t incarnation = 0;
    /** The runs that were sent to that incarnation and have no known end. */
    std::vector<RunKey> runs;
    /** False if an earlier owner has started the runs, so that there may have been others. */
    bool areAllRunsKnown = true;
};

} // namespace auburndoor
