#pragma once

#include "net/EventLoop.h"
#include "soak/EntryProcess.h"
#include "soak/KeyWatch.h"
#include "soak/OwnerPartition.h"
#include "soak/PlatformServer.h"
#include "soak/SoakClients.h"

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace auburndoor {

/** The number of processes and workers, and the durations of a soak run. */
struct SoakSize
{
    int entries = 4;
    int workers = 6;
    /** How long jobs are submitted and faults are injected. */
    Milliseconds faultDuration { 12000 };
    /** The time after the last fault within which all accepted jobs have to end. */
    Milliseconds recoveryLimit { 40000 };
    /** Whether partitions of the owner are among the faults; each seed then stands for other faults. */
    bool hasPartitions = false;
};

/**
    Runs entry processes with simulated clients, workers and store, and injects random faults from outside the processes.

    The seed determines the jobs, the faults and their order. Their timing relative to the processes depends on the machine.
*/
class SoakCell
{
public:
    SoakCell(unsigned seed, const SoakSize &size, const std::string &folder);

    /** Runs until all jobs have ended or the time is up. @return a text for each violated guarantee */
    std::vector<std::string> run();

    /** One line for each injected fault, with the milliseconds since the start. */
    const std::vector<std::string> &faults() const
    {
        return faults_;
    }

    std::size_t acceptedJobCount() const;

private:
    int draw(int from, int to);
    void recordFault(const std::string &description);
    void submitNext();
    void injectNextFault();
    void injectProcessFault();
    void injectStoreFault();
    void injectWorkerFault();
    /** Parts the owner and random workers from the rest for a random time. */
    void injectPartition();
    /** Sets a link to a random fault mode for a random time. */
    void injectLinkFault(FaultyLink &link, const std::string &name);
    /** Ends all faults, and restarts or resumes all processes. */
    void endFaults();
    void restartStoppedProcesses();
    void checkJobs();
    bool haveAllJobsEnded() const;
    void queryOpenJobs();

    EventLoop loop_;
    std::mt19937 random_;
    SoakSize size_;
    TimePoint startedAt_;
    PlatformServer platform_;
    std::vector<std::unique_ptr<EntryProcess>> entries_;
    std::set<std::shared_ptr<OwnerPartition>> partitions_;
    KeyWatch keys_;
    std::unique_ptr<SoakClients> clients_;
    std::set<std::string> startedJobs_;
    std::vector<std::string> violations_;
    std::vector<std::string> faults_;
    int lastJobNumber_ = 0;
    bool isInjectingFaults_ = true;
};

} // namespace auburndoor
