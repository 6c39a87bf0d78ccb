#pragma once

#include "cell/CallHistory.h"

#include <map>
#include <string>
#include <vector>

namespace auburndoor {

/** One task as a worker's own record shows it. */
struct RunRecord
{
    std::string worker;
    std::string task;
    /** The mark that the task was to echo; empty if the record does not show it. */
    std::string mark;
    long long startMs = 0;
    /** -1 while it runs. */
    long long endMs = -1;
};

/** The records of all workers. */
struct WorkerHistory
{
    std::vector<RunRecord> runs;
    /** Starts that a worker refused because they exceeded its capacity, one text each. */
    std::vector<std::string> overloads;
};

/** Judges what callers saw against what the workers ran. */
class HistoryChecker
{
public:
    /** Reads the histories of all workers. @param addresses by worker id */
    static WorkerHistory read(const std::map<std::string, std::string> &addresses);

    /** All violations of the promises, one text each. */
    static std::vector<std::string> check(const std::vector<CallRecord> &calls, const WorkerHistory &workers);
};

} // namespace auburndoor
