#pragma once

#include "net/EventLoop.h"
#include "soak/EntryProcess.h"
#include "soak/PlatformServer.h"
#include "soak/SoakClients.h"

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace auburndoor {

/** How large and how long a soak run is. */
struct SoakSize
{
    int entries = 4;
    int workers = 6;
    Milliseconds disturbed { 12000 };
    /** After the last fault: by then all accepted jobs have ended. */
    Milliseconds quiet { 40000 };
};

/**
    Real entry processes between clients, workers and a store of the soak's own, under random faults from outside.

    The seed decides jobs, faults and their order; how they fall in with the processes is up to the machine.
*/
class SoakCell
{
public:
    SoakCell(unsigned seed, const SoakSize &size, const std::string &folder);

    /** Runs to the end. @return what broke a promise, for a person; empty if nothing did */
    std::vector<std::string> run();

    /** What happened, a line for each fault, with milliseconds from the start. */
    const std::vector<std::string> &story() const
    {
        return story_;
    }

    std::size_t acceptedCount() const;

private:
    int draw(int from, int to);
    void note(const std::string &what);
    void submitNext();
    void disturbNext();
    void disturbProcess();
    void disturbStore();
    void disturbWorker();
    /** Applies a mode to a link for a while. */
    void disturbLink(FaultyLink &link, const std::string &name);
    void heal();
    void checkStops();
    void checkJobs();
    bool isAllEnded() const;
    void queryOpenJobs();

    EventLoop loop_;
    std::mt19937 random_;
    SoakSize size_;
    TimePoint startedAt_;
    PlatformServer platform_;
    std::vector<std::unique_ptr<EntryProcess>> entries_;
    std::unique_ptr<SoakClients> clients_;
    std::set<std::string> startedJobs_;
    std::vector<std::string> violations_;
    std::vector<std::string> story_;
    int nextJob_ = 0;
    bool isDisturbing_ = true;
};

} // namespace auburndoor
