#pragma once

#include "measure/OwnershipComparison.h"

#include <nlohmann/json_fwd.hpp>

#include <iosfwd>

namespace auburndoor {

/** All results of one run. */
struct Measurements
{
    std::vector<MeasuredLoad> loads;
    ApplyTimes applies;
    std::vector<OwnershipResult> ownership;
};

/** Cost per instance of one additional unit, such as a worker or a task. */
struct Slope
{
    std::string of;
    double cpuPercent = 0;
    double memoryKiB = 0;
    double controlBytes = 0;
    double controlMessages = 0;
    double requestBytes = 0;
};

/** Computes the cost of one more owned worker, instance of the cell, running task and start per second from the measured loads. */
std::vector<Slope> computeSlopes(const std::vector<MeasuredLoad> &loads);

void printTables(std::ostream &stream, const Measurements &measurements);
nlohmann::json toJson(const Measurements &measurements);

} // namespace auburndoor
