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

/** How many callers of a scenario send what. */
struct CallerLoad
{
    int repeatable = 12;
    int nonRepeatable = 6;
    int runMs = 20;
    int timeoutMs = 3000;
};

/** A cell of real processes with callers, and the judgement over what they saw. */
class SystemFixture
{
public:
    /** Starts the platform, workers in two failure domains and three instances, and applies a declaration. */
    explicit SystemFixture(const std::string &name, unsigned seed = 1);

    /** Starts repeatable and non-repeatable callers on all instances that the balancer would use. */
    void startCallers(const CallerLoad &load = {});

    /** Starts more callers than the cell has places, and waits until all places are taken. */
    void startCallersBeyondCapacity();

    /** Lets the callers work for a time. */
    static void run(std::chrono::milliseconds duration);

    /** Lets the callers finish. */
    void stopCallers();

    /** The balancer sends nothing to this instance any more (or again). */
    void setInBalancer(const std::string &instance, bool isIn);

    /** Kills an instance, takes it off the balancer and forgets it. */
    void kill(const std::string &instance);

    /** Stops all threads of an instance and takes it off the balancer, as a failed health check does. */
    void freeze(const std::string &instance);

    /** Ends freeze(). */
    void thaw(const std::string &instance);

    /** Starts an instance in its failure domain. */
    void startInstance(const std::string &instance, bool isOnOldPorts = false);

    /** Waits until the instances that are not frozen have this number of free places together. */
    bool waitForFreePlaces(int count, std::chrono::milliseconds limit);

    /** Asks an instance's operators' endpoint. @return its reply as JSON text; empty without a reply */
    std::string ask(const std::string &instance,
                    const std::string &method,
                    const std::string &path,
                    const std::string &body = {},
                    const std::string &key = {}) const;

    /** The ids of the workers that an instance owns. */
    std::set<std::string> workersOf(const std::string &instance) const;

    /** The instance that owns the most workers now, so that a fault meets an owner. */
    std::string largestOwner() const;

    /** Waits until all workers are owned and claimed by instances that are not frozen. */
    bool waitForAllWorkers(std::chrono::milliseconds limit);

    /** Switches faults of the platform, as JSON. */
    void setPlatformFaults(const std::string &json);

    /** Switches faults of all workers, as JSON. */
    void setWorkerFaults(const std::string &json);

    /** The version of the configuration that an instance has in force; -1 if it does not answer. */
    long long versionAt(const std::string &instance) const;

    /** Judges promises 1 to 5 over all calls so far and the workers' records, and prints them with report(). */
    CheckResult judge(const std::string &faults);

    /** Prints one line for each promise that was checked, for tests/system/prove, and the violations. */
    void report(const CheckResult &judgement, const std::string &faults) const;

    /** Asks a condition again and again. @return true if it held before the limit */
    static bool waitFor(std::chrono::milliseconds limit, const std::function<bool()> &condition);

    static std::string declaration(int weight);

    Cell cell;
    CallHistory history;

    static constexpr std::size_t workerCount = 6;
    /** Of the declared need: 8 slots for each worker. */
    static constexpr int placeCount = 48;

private:
    std::vector<std::string> balancerAddresses() const;
    static std::string domainOf(const std::string &instance);
    std::vector<std::string> runningInstances() const;

    const unsigned seed_;
    mutable std::mutex mutex_;
    std::set<std::string> balancer_;
    std::set<std::string> frozen_;
    Callers callers_;
};

} // namespace auburndoor
