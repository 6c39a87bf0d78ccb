#pragma once

#include "soak/ProcessCell.h"
#include "soak/RunHistory.h"
#include "soak/SiteWorkers.h"
#include "soak/SoakClients.h"

#include <memory>
#include <string>
#include <vector>

namespace auburndoor {

/**
    Eight entry processes in four failure domains and 48 workers of two services, as on a deployment of the users, under random
   faults.

    The faults overlap: workers leave and are replaced, and workers, processes and the store fail meanwhile.
*/
class SiteCell
{
public:
    /** @param folder is emptied, and receives the settings and logs of the processes */
    SiteCell(unsigned seed, const std::string &folder);

    /** Injects faults for a time, and ends them. @return an explanation for each violated guarantee */
    std::vector<std::string> run(Milliseconds faultDuration);

    /**
        Lets workers drain with their tasks, and takes the store away for so long that their entries expire. When it returns,
        connections to these workers fail for a moment; in a third of the cases the owner fails as well. @return as run()
    */
    std::vector<std::string> loseStoreWhileDraining();

    std::size_t acceptedJobCount() const;
    int startCount = 0;
    ProcessCell cell;

private:
    SimulatedWork planWork();
    void submitNext();
    void injectNextFault();
    void injectProcessFault();
    void injectOwnerFault();
    /** Kills, stops or suspends a process that is running; null does nothing. */
    void disturb(EntryProcess *entry);
    void injectStoreFault();
    void injectWorkerFault();
    void drainWorkersRegularly();
    void drainWorkers(int count);
    void resetDrainingWorkers();
    void resetConnections(const std::string &id, Milliseconds duration);
    /** Waits for an owner, and submits jobs from then on. @return false if there is none in time */
    bool begin();
    std::vector<std::string> finish();
    /** Takes the store away from all processes and from the workers' reports. @param kind None for resets @param lapse entries
     * expire */
    void loseStore(Milliseconds duration, StoreFault::Kind kind, bool lapse);
    void setStoreFaults(const StoreFault &fault);
    /** A random worker that is up; one that drains in half of the cases. */
    std::string pickWorker();
    /** Of a few random workers the one with the most runs. */
    std::string pickBusyWorker();
    void endFaults();
    std::vector<std::string> explainViolations() const;

    RunHistory history_;
    SiteWorkers workers_;
    SoakClients clients_;
    int lastJobNumber_ = 0;
    /** Of 20 faults, so many are of processes; none for some seeds, so that an owner stays. */
    int processFaultWeight_ = 0;
    /** Of three tasks, so many may be long. */
    int longTaskWeight_ = 1;
    bool isInjectingFaults_ = true;
    bool isStoreDisturbed_ = false;
};

} // namespace auburndoor
