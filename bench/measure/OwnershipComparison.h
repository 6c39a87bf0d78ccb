#pragma once

#include "measure/SizeScenarios.h"

namespace auburndoor {

/** Waiting times and resource use of one ownership mode at one request rate; the spreads are taken over the repetitions. */
struct OwnershipResult
{
    std::string mode;
    double requestsPerSecond = 0;
    Spread p50Ms;
    Spread p99Ms;
    Spread maxMs;
    /** Mean use over the instances and use of the busiest instance, in percent of a core. */
    Spread cpuPercent;
    Spread highestCpuPercent;
    /** Requests per second that were forwarded to a peer, total of the cell. */
    Spread forwardedPerSecond;
    std::map<std::string, int> outcomes;
};

/** Compares sharded ownership with a single placer in alternating runs of cells that differ in the ownership mode only. */
std::vector<OwnershipResult> compareOwnership(const MeasureOptions &options);

} // namespace auburndoor
