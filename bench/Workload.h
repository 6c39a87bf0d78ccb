#pragma once

#include "core/Clock.h"
#include "core/Resources.h"
#include "declaration/Declaration.h"

#include <cstdint>
#include <string>
#include <vector>

/** One request of a generated workload. */
struct WorkItem
{
    /** Arrival and deadline are times since the start of the run. */
    std::chrono::microseconds arrival { 0 };
    std::chrono::microseconds runTime { 0 };
    std::chrono::microseconds deadline { 0 };
    auburndoor::Milliseconds declaredRunTime { 0 };
    std::string kind;
    int team = 0;
    auburndoor::Priority priority = auburndoor::Priority::Normal;
    auburndoor::Resources need { 2000, 4096, 1, 1, 1 };
};

/** Parameters of a generated workload. */
struct WorkloadOptions
{
    std::uint64_t seed = 1;
    int slots = 104;
    /** Ratio of the offered work to the capacity. */
    double load = 0.7;
    std::chrono::seconds duration { 120 };
    /** Start and duration of a peak during which the arrival rate is multiplied by the factor; no peak if the factor is 1. */
    std::chrono::seconds peakStart { 30 };
    std::chrono::seconds peakDuration { 10 };
    double peakFactor = 1;
    /** Times at which the last team submits one straggler for each slot at once. */
    std::vector<std::chrono::seconds> bursts;
    int teams = 25;
    /** Share of the arrivals that come from team 0; the rest is spread evenly over the other teams. Zero: even over all teams. */
    double floodShare = 0;
    /** Whether the Poisson arrivals include stragglers; the offered load is the same without them. */
    bool hasStragglers = true;
};

/**
    Generates requests like those on the accelerator workers of both users: Poisson arrivals with 90% of about 50 ms run time, 9% of
    about 300 ms and 1% stragglers of about 5 s. The declared run time of each kind is wrong by a factor of up to 10. Short and
    medium requests have a deadline of 5 s (the default of a service), stragglers one of 30 s.
*/
std::vector<WorkItem> makeWorkload(const WorkloadOptions &options);
