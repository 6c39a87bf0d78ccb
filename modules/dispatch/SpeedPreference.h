#pragma once

#include "core/Clock.h"

namespace auburndoor {

struct StepState;

/**
    How the speed of a worker counts when workers are chosen for the tasks of a step.

    While all workers have the same speed it changes nothing.
*/
struct SpeedPreference
{
    /** On a slower worker the tasks would end after the job's objective. Zero if they are in time anywhere, or nowhere. */
    double minSpeed = 0;
    /** The cost of speed: positive for work that leaves fast workers to others, negative for work that is short of time. */
    double weight = 0;

    /** What a worker of this speed adds to the cost of placing a task there; lower is better. */
    double cost(double speed) const
    {
        // Less than the costs of remote data and of interference, and more than what is left free on a worker.
        constexpr double missedObjectiveCost = 4.0;
        return (speed < minSpeed ? missedObjectiveCost : 0.0) + weight * (speed - 1.0);
    }

    /** The preference of a step whose tasks start now. */
    static SpeedPreference of(const StepState &step, TimePoint now);
};

} // namespace auburndoor
