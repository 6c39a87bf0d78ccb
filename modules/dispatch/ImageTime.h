#pragma once

#include "core/Clock.h"
#include "dispatch/SampleWindow.h"

namespace auburndoor {

/** The learned run time of the tasks of one image on a worker of usual speed. */
struct ImageTime
{
    /** Logarithms of run times in milliseconds, each as it would have been on a worker whose logarithmic speed is zero. */
    SampleWindow samples;
    /** On a worker of usual speed; valid if isLearned. */
    Milliseconds time { 0 };
    /** The last time that was reported as a change; zero before. */
    Milliseconds reportedTime { 0 };
    /** Enough runs have ended. */
    bool isLearned = false;
    /** When a job with the image was submitted last, or a run of it ended. */
    TimePoint seenAt;
};

} // namespace auburndoor
