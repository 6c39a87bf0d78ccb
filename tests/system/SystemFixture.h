#pragma once

#include "cell/Callers.h"
#include "cell/Cell.h"
#include "cell/HistoryChecker.h"

#include <atomic>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace auburndoor {

/** A cell of real processes with callers, and the judgement over what they saw. */
class SystemFixture
{
public:
    /** Starts the platform, workers in two failure domains and three instances, and applies a declaration. */
    explicit SystemFixture(const std::string &name);

    /** Starts repeatable and non-repeatable callers on all instances that the balancer would use. */
    void startCallers();

    /** Lets the callers work for a time. */
    static void run(std::chrono::milliseconds duration);

    /** Lets the callers finish. */
    void stopCallers();

    /** The balancer sends nothing to this instance any more (or again). */
    void setInBalancer(const std::string &instance, bool isIn);

    /** Waits until all workers are owned and seized by the live instances. */
    bool waitForAllWorkers(std::chrono::milliseconds limit);

    /** Switches faults of the platform, as JSON. */
    void setPlatformFaults(const std::string &json);

    /** Switches faults of all workers, as JSON. */
    void setWorkerFaults(const std::string &json);

    /** The version of the configuration that an instance has in force; -1 if it does not answer. */
    long long versionAt(const std::string &instance) const;

    /**
        Judges all calls so far against the workers' records and prints one line for the proof.

        @return the violations
    */
    std::vector<std::string> judge(const std::string &promise, const std::string &faults);

    static std::string declaration(int weight);

    Cell cell;
    CallHistory history;

    static constexpr std::size_t workerCount = 6;

private:
    std::vector<std::string> balancerAddresses() const;
    std::size_t ownedWorkers() const;

    mutable std::mutex mutex_;
    std::set<std::string> balancer_;
    Callers callers_;
};

} // namespace auburndoor
