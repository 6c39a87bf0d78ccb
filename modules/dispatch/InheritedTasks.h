#pragma once

#include "core/Resources.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace auburndoor {

struct JobState;

/** The tasks of a job of an earlier owner that may have runs which no report has listed so far. */
struct InheritedTasks
{
    struct Step
    {
        /** What each task takes of its account's limit. */
        Resources need;
        /** As in StepSpec: the processor time of a run is not counted on its worker. */
        bool fillsIdleCapacity = false;
        /** The tasks that are not done and have no known run. */
        std::int64_t count = 0;
    };

    std::string account;
    /** The services on whose workers the runs may be. */
    std::set<std::string> services;
    /** In the order of the job's steps; of all occurrences together. */
    std::vector<Step> steps;

    /** Reads the job's tasks as they are now. */
    static InheritedTasks of(const JobState &job);
    /** Reads a job of which only the description is known; any of its tasks may run. */
    static InheritedTasks ofDescription(const JobState &job);
};

} // namespace auburndoor
