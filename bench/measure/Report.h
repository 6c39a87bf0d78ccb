#pragma once

#include "measure/OwnershipComparison.h"

#include <nlohmann/json_fwd.hpp>

#include <iosfwd>

namespace auburndoor {

/** Everything that one run has measured. */
struct Measurements
{
    std::vector<MeasuredLoad> loads;
    ApplyTimes applies;
    std::vector<OwnershipResult> ownership;
};

/** What one more of something costs one instance. */
struct Slope
{
    std::string of;
    double cpuPercent = 0;
    double memoryKiB = 0;
    double controlBytes = 0;
    double controlMessages = 0;
    double requestBytes = 0;
};

/** Slopes between measured loads: for each worker owned, instance of the cell, task, start of a second. */
std::vector<Slope> slopesOf(const std::vector<MeasuredLoad> &loads);

void printTables(std::ostream &stream, const Measurements &measurements);
nlohmann::json toJson(const Measurements &measurements);

} // namespace auburndoor
