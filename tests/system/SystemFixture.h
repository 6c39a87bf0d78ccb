#pragma once

#include "cell/Callers.h"
#include "cell/Cell.h"
#include "cell/HistoryChecker.h"

#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace auburndoor {

/** The numbers of repeatable and non-repeatable callers, and the run time and timeout of their requests in milliseconds. */
struct CallerLoad
{
    int repeatable = 12;
    int nonRepeatable = 6;
    int runMs = 20;
    int timeoutMs = 3000;
};

/** Runs a cell of real processes and concurrent callers, injects faults and checks the promises over the recorded calls. */
class SystemFixture
{
public:
    /**
        Starts the platform, workers in two failure domains and three instances, applies a declaration, and waits until all workers
        are owned.

        @param name the end of the name of the folder for logs and settings
        @param seed the seed that report() prints
    */
    explicit SystemFixture(const std::string &name, unsigned seed = 1);

    /** Starts repeatable and non-repeatable callers, which use the instances in the load balancer. */
    void startCallers(const CallerLoad &load = {});

    /** Starts more callers than the cell has places, and waits until no place is free. */
    void startCallersBeyondCapacity();

    /** Blocks for the duration, while the callers go on to send. */
    static void runFor(std::chrono::milliseconds duration);

    /** Waits until each caller has finished its current request, and ends all callers. */
    void stopCallers();

    /** Adds an instance to the load balancer or removes it. Callers send only to instances in the balancer. */
    void setInBalancer(const std::string &instance, bool isIn);

    /** Kills an instance with SIGKILL, waits for its exit, and removes it from the balancer and the cell. */
    void kill(const std::string &instance);

    /** Stops an instance with SIGSTOP and removes it from the balancer, as a failed health check would. */
    void freeze(const std::string &instance);

    /** Continues a frozen instance with SIGCONT and adds it to the balancer again. */
    void thaw(const std::string &instance);

    /** Starts an instance in its failure domain. @param isOnOldPorts whether it uses the ports of its predecessor with this id */
    void startInstance(const std::string &instance, bool isOnOldPorts = false);

    /** Waits until the free places of all instances that are not frozen add up to a count. @return false after the limit */
    bool waitForFreePlaces(int count, std::chrono::milliseconds limit);

    /**
        Sends a request to the operators' endpoint of an instance.

        @param key the idempotency key; none is sent if it is empty
        @return the body of the reply as JSON text; empty without a reply
    */
    std::string callOperators(const std::string &instance,
                              const std::string &method,
                              const std::string &path,
                              const std::string &body = {},
                              const std::string &key = {}) const;

    /** @return the ids of the workers that an instance owns; empty without a reply */
    std::set<std::string> readOwnedWorkers(const std::string &instance) const;

    /** @return the instance, not frozen, that owns the most workers now, so that a fault affects an owner */
    std::string findLargestOwner() const;

    /** Waits until the instances that are not frozen list all workers as their own. @return false after the limit */
    bool waitForAllWorkers(std::chrono::milliseconds limit);

    /** Sets the faults that the platform injects. @param json the faults and their values */
    void setPlatformFaults(const std::string &json);

    /** Sets the faults that all workers inject. @param json the faults and their values */
    void setWorkerFaults(const std::string &json);

    /** @return the configuration version that an instance has in force; -1 if it does not answer */
    long long readVersion(const std::string &instance) const;

    /**
        Checks promises 1 to 5 over all calls so far and the workers' records, and prints the result with report().

        @param faults names the injected faults in the printed lines
    */
    CheckResult checkPromises(const std::string &faults);

    /** Prints one line for each checked promise, which tests/system/prove parses, and the violations. */
    void report(const CheckResult &result, const std::string &faults) const;

    /** Polls a condition every 20 ms. @return false if it did not hold within the limit */
    static bool waitFor(std::chrono::milliseconds limit, const std::function<bool()> &condition);

    /** @return a declaration with one service and one team of this weight, as JSON text */
    static std::string declaration(int weight);

    Cell cell;
    CallHistory history;

    static constexpr std::size_t workerCount = 6;
    /** Places of the declared need on all workers: 8 slots on each worker. */
    static constexpr int placeCount = 48;

private:
    std::vector<std::string> balancerAddresses() const;
    static std::string failureDomainOf(const std::string &instance);
    std::vector<std::string> runningInstances() const;

    const unsigned seed_;
    mutable std::mutex mutex_;
    std::set<std::string> balancerAddresses_;
    std::set<std::string> frozen_;
    Callers callers_;
};

} // namespace auburndoor
