#pragma once

#include "measure/InstanceProbe.h"

#include <chrono>
#include <string>
#include <vector>

namespace auburndoor {

/** The size and load of a cell during a measurement. */
struct CellLoad
{
    std::string name;
    int instances = 1;
    /** Workers, tasks and requests are totals of the cell. */
    int workers = 0;
    int tasks = 0;
    double requestsPerSecond = 0;
};

/** Median, smallest and largest value of repeated measurements. */
struct Spread
{
    double median = 0;
    double smallest = 0;
    double largest = 0;

    static Spread of(std::vector<double> values);
};

/** One row of the table. Each value is the mean over the instances in a window; the spread is taken over the windows. */
struct MeasuredLoad
{
    CellLoad load;
    Spread cpuPercent;
    /** Use of the instance with the highest use in each window. */
    Spread highestCpuPercent;
    Spread residentMiB;
    Spread anonymousMiB;
    Spread threads;
    Spread controlBytes;
    /** Rate of the instance with the highest rate in each window. */
    Spread highestControlBytes;
    Spread controlMessages;
    Spread requestBytes;
    Spread requestMessages;
    Spread tableReads;
    Spread tableWrites;
    /** Bytes and messages per second by label, mean over the instances and windows. */
    std::map<std::string, double> bytes;
    std::map<std::string, double> messages;
    /** Number of requests by outcome; empty if none were sent. */
    std::map<std::string, int> requestOutcomes;
};

/** Number and duration of the windows of one measurement. */
struct MeasurementPlan
{
    int windows = 3;
    std::chrono::milliseconds windowDuration { 5000 };
};

/** Measures all instances of a cell over consecutive windows. Blocks until the last window ends. */
MeasuredLoad measureCell(Cell &cell, const CellLoad &load, const MeasurementPlan &plan);

} // namespace auburndoor
