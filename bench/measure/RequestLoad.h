#pragma once

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace auburndoor {

class Cell;

/** Rate and kind of the requests that the callers of a cell send. */
struct RequestPlan
{
    std::string service = "desk";
    /** Total of the cell. */
    double perSecond = 75;
    int runMs = 20;
    /** Caller threads per instance; each has its own persistent connection. */
    int callersPerInstance = 16;
};

/** Waiting times and outcomes that the callers observed. */
struct RequestResult
{
    /** Round-trip time less run time of each answered request, in ms. */
    std::vector<double> waitingMs;
    std::map<std::string, int> outcomes;
};

/** Runs caller threads that send requests at exponentially distributed intervals, evenly over all instances of a cell. */
class RequestLoad
{
public:
    RequestLoad(const Cell &cell, const RequestPlan &plan);

    /** Stops the callers if they still run. */
    ~RequestLoad();

    /** Waits until each caller has completed its current request. @return the results of all callers */
    RequestResult stop();

private:
    void runCaller(const std::string &address, double perSecond, unsigned seed);

    const RequestPlan plan_;
    std::atomic<bool> isStopping_ { false };
    std::vector<std::thread> threads_;
    std::mutex mutex_;
    RequestResult result_;
};

} // namespace auburndoor
