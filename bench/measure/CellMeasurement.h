#pragma once

#include "measure/InstanceProbe.h"

#include <chrono>
#include <string>
#include <vector>

namespace auburndoor {

/** The load of a cell while it is measured. */
struct CellLoad
{
    std::string name;
    int instances = 1;
    /** Of the whole cell. */
    int workers = 0;
    int tasks = 0;
    double requestsPerSecond = 0;
};

/** Median, smallest and largest of the repetitions. */
struct Spread
{
    double median = 0;
    double smallest = 0;
    double largest = 0;

    static Spread of(std::vector<double> values);
};

/** One line of the table: the mean over the instances in each window, and the spread over the windows. */
struct MeasuredLoad
{
    CellLoad load;
    Spread cpuPercent;
    /** Of the instance that used most. */
    Spread highestCpuPercent;
    Spread residentMiB;
    Spread anonymousMiB;
    Spread threads;
    Spread controlBytes;
    /** Of the instance that had most. */
    Spread highestControlBytes;
    Spread controlMessages;
    Spread requestBytes;
    Spread requestMessages;
    Spread tableReads;
    Spread tableWrites;
    /** Bytes and messages of a second by label, mean over instances and windows. */
    std::map<std::string, double> bytes;
    std::map<std::string, double> messages;
    /** Outcomes of the requests, if there were any. */
    std::map<std::string, int> requestOutcomes;
};

/** Windows of one measurement. */
struct MeasuringPlan
{
    int windows = 3;
    std::chrono::milliseconds length { 5000 };
};

/** Measures all instances of a cell over some windows, one after the other. */
MeasuredLoad measureCell(Cell &cell, const CellLoad &load, const MeasuringPlan &plan);

} // namespace auburndoor
