#pragma once

#include "core/Clock.h"

namespace auburndoor {

struct Run;

/** When a task of a run will be done where it runs, and on another worker if the run is stopped now. */
struct RunForecast
{
    Milliseconds remainingHere { 0 };
    /** On a worker of usual speed, with the time that the stop and the new start take. */
    Milliseconds remainingElsewhere { 0 };

    /**
        True if the run would miss its objective here and meet it elsewhere, and clearly gains by the move.

        @param timeLeft until the time at which it has to be done
        @param speed    of the other worker
    */
    bool gainsByMove(Milliseconds timeLeft, double speed) const;

    /**
        Forecasts a confirmed run.

        @param expected      the time that its task takes on a worker of usual speed
        @param speed         the present speed of its worker
        @param hasCheckpoint what it has done so far is saved
    */
    static RunForecast of(const Run &run, Milliseconds expected, double speed, bool hasCheckpoint, TimePoint now);
};

} // namespace auburndoor
