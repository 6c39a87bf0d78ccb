#pragma once

#include "net/EventLoop.h"
#include "soak/EntryProcess.h"
#include "soak/PlatformServer.h"

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace auburndoor {

/** Entry processes with a simulated store and simulated workers, for tests that direct the faults themselves. */
class ProcessCell
{
public:
    /**
        @param folder is emptied, and receives the settings and logs of the processes
        @param plan the work of the workers' runs
        @param optionsOf returns the options of the process with this number; the default ones without it
    */
    ProcessCell(unsigned seed,
                int entryCount,
                int workerCount,
                const std::string &folder,
                const SimulatedWorker::Plan &plan,
                const std::function<EntryOptions(int)> &optionsOf = {});

    /** Runs the loop for a time. */
    void runFor(Milliseconds duration);
    /** Runs the loop until the condition holds. @return false if it does not within the limit */
    bool runUntil(const std::function<bool()> &condition, Milliseconds limit);

    /** Writes a desired state with the next version and the same queues. */
    void writeDesiredState();
    /** Starts the processes again that have exited after SIGTERM; records a violation for one that is over its grace period. */
    void restartStoppedProcesses();

    /** The process that the store names as the owner of the cell, or null. */
    EntryProcess *owner() const;
    std::vector<Address> clientAddresses() const;
    int draw(int from, int to);
    /** Adds a line with the milliseconds since the start of the cell. */
    void record(const std::string &process, const std::string &what);

    EventLoop loop;
    std::mt19937 random;
    PlatformServer platform;
    std::vector<std::unique_ptr<EntryProcess>> entries;
    std::vector<std::string> violations;
    /** What was done and seen: "milliseconds | process | text". */
    std::vector<std::string> timeline;

private:
    TimePoint startedAt_;
    int desiredStateVersion_ = 0;
};

} // namespace auburndoor
