#pragma once

#include "dispatch/WorkerState.h"

#include <limits>
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

/** The room of a usable worker in one round of placement: what is free, and what could be freed for more urgent work. */
struct WorkerRoom
{
    WorkerState *worker = nullptr;
    std::vector<RoomHold> holds;
    /** Free now or once the runs that are being stopped have ended, less what this round has planned there. */
    Resources expected;
    std::vector<ReclaimableRun> reclaimable;
    /** Runs are being stopped here. */
    bool isFreeing = false;
    /** The priority of the work that waits for room here; less urgent work keeps off. */
    int claimedBy = std::numeric_limits<int>::max();

    /** What a step may use now: the free room less what other steps at least as urgent wait to use. */
    Resources freeFor(const void *step, int priority) const;

    /** Takes stock of the runs that are being stopped and of those that could be. */
    void collectRuns();

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

} // namespace auburndoor
