#pragma once

#include "measure/SizeScenarios.h"

namespace auburndoor {

/** Waiting times under one mode of ownership and one load, over all repetitions. */
struct OwnershipResult
{
    std::string mode;
    double requestsPerSecond = 0;
    Spread p50Ms;
    Spread p99Ms;
    Spread maxMs;
    /** Mean and highest use of an instance, in percent of a core. */
    Spread cpuPercent;
    Spread highestCpuPercent;
    /** Requests of a second that went to a peer, of the whole cell. */
    Spread forwardedPerSecond;
    std::map<std::string, int> outcomes;
};

/** Compares sharded ownership with a single placer: cells that differ in nothing else, in alternating runs. */
std::vector<OwnershipResult> compareOwnership(const MeasureOptions &options);

} // namespace auburndoor
