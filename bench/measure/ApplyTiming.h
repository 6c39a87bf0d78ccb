#pragma once

#include "measure/CellMeasurement.h"

namespace auburndoor {

class MeasuredCell;

/** Times and costs of applying a configuration version at every instance of a cell. */
struct ApplyTimes
{
    /** Time from sending the apply until the last instance reported the version. */
    Spread inForceMs;
    /** Time from sending the apply until its reply, which is sent once all instances have confirmed. */
    Spread replyMs;
    int applies = 0;
    /** The number of applies that were refused or were not in force at every instance within 10 s. */
    int failures = 0;
    /** Mean use per instance and apply, less the use of an idle cell in the same time. */
    double cpuMs = 0;
    double bytes = 0;
    double messages = 0;

    /** Applies versions one after the other at alternating instances, while one thread per instance polls for the version. */
    static ApplyTimes measure(MeasuredCell &cell, int applies);
};

} // namespace auburndoor
