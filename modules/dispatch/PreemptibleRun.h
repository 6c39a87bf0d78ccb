#pragma once

#include "dispatch/PreemptionRight.h"
#include "dispatch/Run.h"
#include "dispatch/WorkAmount.h"

namespace auburndoor {

/** What a stop of a run would cost. */
struct StopCost
{
    PreemptionCost cost = PreemptionCost::Tolerable;
    /** As PreemptionValue::lossOf(). */
    WorkAmount loss = 0;
};

/** A run that may be stopped to make room for more urgent work. */
struct PreemptibleRun
{
    RunKey key;
    Resources need;
    int priority = 0;
    StopCost stop;
    /** The service is scarce, and the run's account has less than its share of it. */
    bool isBelowShare = false;
};

} // namespace auburndoor
