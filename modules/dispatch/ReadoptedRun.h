#pragma once

#include "dispatch/Run.h"

#include <string>

namespace auburndoor {

/** What becomes of a run that goes on although it was reported as lost. */
struct ReadoptedRun
{
    RunClaim claim;
    /** Why it is to be stopped; empty if it goes on. */
    std::string stopReason;
};

} // namespace auburndoor
