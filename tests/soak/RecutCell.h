#pragma once

#include "soak/ProcessCell.h"
#include "soak/RunHistory.h"
#include "soak/SiteWorkers.h"
#include "soak/SoakClients.h"

#include <string>
#include <vector>

namespace auburndoor {

/**
    Eight entry processes and 48 workers that restart under their ids and are cut off soon after, while the owner changes.

    A restarted worker takes what was meant for its earlier incarnation. If it has got a longer lease than its owners count, its
   runs go on when the successor starts their tasks elsewhere. The rounds of these faults overlap.
*/
class RecutCell
{
public:
    /** @param folder is emptied, and receives the settings and logs of the processes */
    RecutCell(unsigned seed, const std::string &folder);

    /** Begins rounds for a time, and waits for the end of the last one. @return an explanation for each violated guarantee */
    std::vector<std::string> run(Milliseconds faultDuration);

    std::size_t acceptedJobCount() const;

    int startCount = 0;
    int roundCount = 0;
    int restartCount = 0;
    ProcessCell cell;

private:
    /** Restarts some workers, then disturbs the owner, then cuts the same workers off; the next round begins meanwhile. */
    void beginRound();
    void disturbOwner();
    /** Cuts a worker off, loses its replies, or resets its connections. */
    void cutOff(const std::string &id, int kind);
    void submitNext();
    void queryNext();
    SimulatedWork planWork();
    std::vector<std::string> pickWorkers(int count);
    std::vector<std::string> explainViolations() const;

    RunHistory history_;
    SiteWorkers workers_;
    SoakClients clients_;
    std::vector<std::string> acceptedJobs_;
    int lastJobNumber_ = 0;
    bool isBeginningRounds_ = true;
};

} // namespace auburndoor
