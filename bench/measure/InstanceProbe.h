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

    /** Parses the counters from the text that /metrics returns. */
    static TrafficCounters parse(const std::string &text);
};

/** Resource use and traffic counters of one instance at a point in time. */
struct InstanceSample
{
    std::chrono::steady_clock::time_point time;
    ProcessUsage usage;
    TrafficCounters traffic;
};

/** Rates per second of one instance over a window, and its memory and threads at the end of the window. */
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
    /** Bytes per second by label. */
    std::map<std::string, double> bytes;
    /** Messages per second by label. */
    std::map<std::string, double> messages;
};

/** Samples the resource use and traffic of the instances of a cell. */
class InstanceProbe
{
public:
    static InstanceSample sample(Cell &cell, const std::string &instance);

    static InstanceRates rates(const InstanceSample &before, const InstanceSample &after);

    /** True unless the label counts the requests of callers: their calls to workers, or their forwarding to peers. */
    static bool isControlTraffic(const std::string &label);
};

} // namespace auburndoor
