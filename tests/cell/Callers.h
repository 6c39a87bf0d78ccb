#pragma once

#include "cell/CallHistory.h"

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace auburndoor {

/** What one caller sends. */
struct CallerPlan
{
    std::string service;
    std::string token;
    std::string kind;
    int runMs = 20;
    int timeoutMs = 3000;
    /** True: each request gets an idempotency key, and a caller without a definite outcome sends it again through another instance.
     */
    bool isNonRepeatable = false;
    std::chrono::milliseconds pause { 5 };
};

/** Concurrent callers which send one request after the other until they are stopped. */
class Callers
{
public:
    /** @param addresses gives the callers' addresses of the instances that the balancer would use now */
    Callers(std::function<std::vector<std::string>()> addresses, CallHistory &history);

    /** Stops if it still runs. */
    ~Callers();

    void start(int count, const CallerPlan &plan);

    /** Lets each caller finish its request and joins all. */
    void stop();

private:
    void run(int caller, const CallerPlan &plan);
    CallRecord send(const std::string &address, const std::string &mark, const CallerPlan &plan);

    std::function<std::vector<std::string>()> addresses_;
    CallHistory &history_;
    std::atomic<bool> isStopping_ = false;
    std::atomic<int> callerCount_ = 0;
    std::vector<std::thread> threads_;
};

} // namespace auburndoor
