#pragma once

#include "cell/Cell.h"
#include "measure/ProcessUsage.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace auburndoor {

/** The traffic counters of one instance, by label. */
struct TrafficCounters
{
    std::map<std::string, double> bytes;
    std::map<std::string, double> messages;

    /** Reads the counters from the text of /metrics. */
    static TrafficCounters parse(const std::string &text);
};

/** What one instance used up to a point in time. */
struct InstanceSample
{
    std::chrono::steady_clock::time_point time;
    ProcessUsage usage;
    TrafficCounters traffic;
};

/** What one instance used in a second of a window. */
struct InstanceRates
{
    double cpuPercent = 0;
    double residentMiB = 0;
    double anonymousMiB = 0;
    double threads = 0;
    double controlBytes = 0;
    double controlMessages = 0;
    double requestBytes = 0;
    double requestMessages = 0;
    double tableReads = 0;
    double tableWrites = 0;
    /** Bytes by label. */
    std::map<std::string, double> bytes;
    /** Messages by label. */
    std::map<std::string, double> messages;
};

/** Reads the use of the instances of a cell. */
class InstanceProbe
{
public:
    static InstanceSample sample(Cell &cell, const std::string &instance);

    static InstanceRates rates(const InstanceSample &before, const InstanceSample &after);

    /** True unless the messages belong to a request of a caller: its call at the worker, or its way to a peer. */
    static bool isControl(const std::string &label);
};

} // namespace auburndoor
