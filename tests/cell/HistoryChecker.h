#pragma once

#include "cell/CallHistory.h"
#include "cell/Promise.h"

#include <map>
#include <string>
#include <vector>

namespace auburndoor {

/** One task as a worker's own record shows it. */
struct RunRecord
{
    std::string worker;
    std::string task;
    long long startMs = 0;
    /** -1 while it runs. */
    long long endMs = -1;
};

/** The records of all workers. */
struct WorkerHistory
{
    std::vector<RunRecord> runs;
    /** Starts that a worker refused because they exceeded its capacity, and histories that cannot be read; one text each. */
    std::vector<std::string> overloads;
};

/** Judges what callers saw against what the workers ran. */
class HistoryChecker
{
public:
    /** Reads the histories of all workers. @param addresses by worker id */
    static WorkerHistory read(const std::map<std::string, std::string> &addresses);

    /** Adds the events of one worker's history, as in docs/protocols/worker.md. @param history JSON */
    static void addWorker(const std::string &id, const std::string &history, WorkerHistory &result);

    /** Judges promises 1 to 5. */
    static CheckResult check(const std::vector<CallRecord> &calls, const WorkerHistory &workers);

    /** Judges promise 7 where the only faults were planned stops: each call got a reply with a definite outcome. */
    static CheckResult checkPlannedStop(const std::vector<CallRecord> &calls);

    /** Judges promise 6: @param worker started nothing after @param latestMs by its own wall clock. */
    static CheckResult checkLeaving(const WorkerHistory &workers, const std::string &worker, long long latestMs);
};

} // namespace auburndoor
