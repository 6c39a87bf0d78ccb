#pragma once

#include "cell/Promise.h"

#include <atomic>
#include <chrono>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace auburndoor {

/** What one process showed as the version in force. */
struct VersionSample
{
    /** Names one process; a replaced instance is another process. */
    std::string process;
    std::chrono::steady_clock::time_point asked;
    std::chrono::steady_clock::time_point answered;
    long long version = 0;
    bool isReady = false;
};

/** A process has to have a version in force within 3 s of a time: of the acceptance, or of its thaw. */
struct VersionDeadline
{
    std::string process;
    long long version = 0;
    std::chrono::steady_clock::time_point from;
};

/** Asks instances for their version all the time, and judges promise 8 over the answers. */
class VersionWatch
{
public:
    ~VersionWatch();

    /** Starts to ask a process. @param address of its operators' endpoint */
    void watch(const std::string &process, const std::string &address);

    /** Takes no more samples of a process that is to end. */
    void unwatch(const std::string &process);

    /** Stops and joins. */
    void stop();

    std::vector<VersionSample> samples() const;

    /** Judges the samples of all processes, in the order of their time for each process. */
    static CheckResult check(const std::vector<VersionSample> &samples, const std::vector<VersionDeadline> &deadlines);

    /** Judges a new process: it never showed a version other than 0, or was ready, below the one that the cell had. */
    static CheckResult checkFirst(const std::vector<VersionSample> &samples, const std::string &process, long long lowest);

    /** When a version was first shown by any process; the end of time if never. */
    static std::chrono::steady_clock::time_point firstShown(const std::vector<VersionSample> &samples, long long version);

    static constexpr std::chrono::seconds limit { 3 };

private:
    void run(const std::string &process, const std::string &address);

    mutable std::mutex mutex_;
    std::vector<VersionSample> samples_;
    std::set<std::string> ended_;
    std::atomic<bool> isStopping_ = false;
    std::vector<std::thread> threads_;
};

} // namespace auburndoor
