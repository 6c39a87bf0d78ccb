#pragma once

#include "dispatch/Fleet.h"

#include <limits>
#include <map>
#include <string>
#include <vector>

namespace auburndoor {

/** A run that may give up its room. */
struct ReclaimableRun
{
    RunKey key;
    Resources need;
    int priority = 0;
    /** Its job would still be in time: less urgent work than the most urgent may take its room as well. */
    bool canWait = true;
};

/** Room that a step waits to use until its advice arrives. */
struct RoomHold
{
    const void *step = nullptr;
    int priority = 0;
    Resources need;
};

/** The room of a worker with what is about to become free, and what could be freed for more urgent work. */
struct WorkerRoom
{
    /** Free now or once the runs that are being stopped have ended, less what this round has planned there. */
    Resources expected;
    std::vector<ReclaimableRun> reclaimable;
    /** Runs are being stopped here. */
    bool isFreeing = false;
    /** The priority of the work that waits for room here; less urgent work keeps off. */
    int claimedBy = std::numeric_limits<int>::max();

    /** True if some run may be stopped for work of this priority. */
    bool hasReclaimable(int priority) const;

    /** What would be free if all runs less urgent than the priority were stopped. */
    Resources reclaimableFor(int priority) const;

    /**
        Plans room for one task: takes it out of what is expected, after as many runs as it needs.

        @return the runs to be stopped, the least urgent first
    */
    std::vector<RunKey> plan(const Resources &need, int priority);
};

/** The rooms of all workers of a service by id. */
std::map<std::string, WorkerRoom> collectRooms(const Fleet &fleet, const std::string &service);

} // namespace auburndoor
