#pragma once

#include "measure/CellMeasurement.h"

namespace auburndoor {

class MeasuredCell;

/** Times from an accepted apply until it is in force at every instance. */
struct ApplyTimes
{
    /** From the moment at which the apply was sent until the last instance showed the version. */
    Spread inForceMs;
    /** The part until the reply, which comes when all instances have confirmed. */
    Spread replyMs;
    int applies = 0;
    /** Applies that were refused, or not in force everywhere within 10 s. */
    int failures = 0;
    /** Use of one instance for one apply, mean over the instances, without that of an idle cell. */
    double cpuMs = 0;
    double bytes = 0;
    double messages = 0;

    /** Applies one version after the other, through the instances in turn, while one thread polls each instance. */
    static ApplyTimes measure(MeasuredCell &cell, int applies);
};

} // namespace auburndoor
