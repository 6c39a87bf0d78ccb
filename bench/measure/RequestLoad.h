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

/** The requests of a load. */
struct RequestPlan
{
    std::string service = "desk";
    double perSecond = 75;
    int runMs = 20;
    /** Callers at each instance, each with a connection that it keeps. */
    int callersPerInstance = 16;
};

/** What the callers saw. */
struct RequestResult
{
    /** Round trip minus run time, of answered requests, in ms. */
    std::vector<double> waitingMs;
    std::map<std::string, int> outcomes;
};

/** Callers that send requests at random times with a given mean rate, evenly over all instances of a cell. */
class RequestLoad
{
public:
    RequestLoad(const Cell &cell, const RequestPlan &plan);

    /** Stops if it still runs. */
    ~RequestLoad();

    /** Lets each caller finish its request. @return what all of them saw */
    RequestResult stop();

private:
    void run(const std::string &address, double perSecond, unsigned seed);

    const RequestPlan plan_;
    std::atomic<bool> isStopping_ { false };
    std::vector<std::thread> threads_;
    std::mutex mutex_;
    RequestResult result_;
};

} // namespace auburndoor
