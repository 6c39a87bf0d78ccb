#pragma once

#include "core/Clock.h"
#include "core/Resources.h"
#include "declaration/Declaration.h"

#include <cstdint>
#include <string>
#include <vector>

/** One request of a computed workload. */
struct WorkItem
{
    /** Since the start of the run. */
    std::chrono::microseconds arrival { 0 };
    std::chrono::microseconds runTime { 0 };
    std::chrono::microseconds deadline { 0 };
    auburndoor::Milliseconds declaredRunTime { 0 };
    std::string kind;
    int team = 0;
    auburndoor::Priority priority = auburndoor::Priority::Normal;
    auburndoor::Resources need { 2000, 4096, 1, 1, 1 };
};

/** How requests arrive. */
struct WorkloadOptions
{
    std::uint64_t seed = 1;
    int slots = 104;
    /** Offered work over capacity. */
    double load = 0.7;
    std::chrono::seconds duration { 120 };
    /** Start and length of a crest in which arrivals are multiplied; no crest if the factor is 1. */
    std::chrono::seconds crestStart { 30 };
    std::chrono::seconds crestLength { 10 };
    double crestFactor = 1;
    /** Times at which one team submits as many stragglers as there are slots at once. */
    std::vector<std::chrono::seconds> bursts;
    int teams = 25;
    /** Share of the arrivals that comes from team 0; the others share the rest evenly. Zero: all alike. */
    double floodShare = 0;
    /** False leaves the stragglers out; the offered load stays the same. */
    bool hasStragglers = true;
};

/**
    Requests as on the accelerator workers of both users: 90% of about 50 ms, 9% of about 300 ms, 1% stragglers of about 5 s, in
    Poisson arrivals. Declared run times are off by up to a factor of 10 for each kind. Short work has a deadline of 5 s (the
    default of a service), stragglers one of 30 s.
*/
std::vector<WorkItem> makeWorkload(const WorkloadOptions &options);
