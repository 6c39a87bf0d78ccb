#pragma once

#include "dispatch/Run.h"
#include "net/Address.h"

#include <cstdint>
#include <string>
#include <vector>

namespace auburndoor {

/** The end, or the silence, of an incarnation of a worker that was not draining, with the runs that it had. */
struct WorkerCrash
{
    /** A run that was sent to the incarnation and has no known end. */
    struct AffectedRun
    {
        RunKey key;
        /** As in HostedRun. */
        bool isAlone = false;
        bool isLast = false;
    };

    std::string worker;
    Address address;
    std::int64_t incarnation = 0;
    std::vector<AffectedRun> runs;
};

} // namespace auburndoor
