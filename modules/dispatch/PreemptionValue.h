#pragma once

#include "dispatch/PreemptibleRun.h"
#include "dispatch/PreemptionRight.h"

#include <limits>
#include <vector>

namespace auburndoor {

/** What the owner knows of a run that may be stopped for more urgent work. */
struct StopCandidate
{
    Resources need;
    /** The run time of the task by its estimate; zero if there is none. */
    Milliseconds estimate { 0 };
    /** How long it has run since its last checkpoint, or since its start. */
    Milliseconds sinceSaved { 0 };
    PreemptionCost cost = PreemptionCost::Tolerable;
};

/**
    Weighs what stops of runs gain against what they lose. The functions are pure.

    A stop loses the work since the last checkpoint, the work that the room could have done until the run is at work again, and the
    use of the whole task if its job becomes late. It gains the work of a waiting task that can still be in time. Work that is more
    urgent by a number of levels counts as many times more, since priorities say whose lateness costs more, and nothing else does.
*/
class PreemptionValue
{
public:
    /** The gain of a start whose work is not known, or to which a stop is due whatever it loses. */
    static constexpr WorkAmount unlimited = std::numeric_limits<WorkAmount>::max();

    /** How long it takes until the room of a run that is stopped can be used; stops take up to twice this time. */
    static constexpr Milliseconds stopTime { 250 };

    /** What a stop of the run loses. */
    static WorkAmount lossOf(const StopCandidate &run);

    /** What the start of a task that can be in time gains. @param estimate zero if it is not known */
    static WorkAmount gainOf(const Resources &need, Milliseconds estimate);

    /** What the stop counts for work with this right, which is more urgent by one or more levels. */
    static WorkAmount weigh(const PreemptibleRun &run, const PreemptionRight &right);

    /** True if the run may be stopped by work with this right, whatever it loses. */
    static bool isAllowed(const PreemptibleRun &run, const PreemptionRight &right);

    /**
        Chooses the runs to stop so that the need fits: first those whose stop loses least for the room that it frees.

        @param expectedFree what is free without a stop
        @return             indices into the runs; empty if the need fits already, or does not even after all stops
    */
    static std::vector<std::size_t> chooseStops(const std::vector<PreemptibleRun> &runs,
                                                const Resources &need,
                                                Resources expectedFree,
                                                const PreemptionRight &right);
};

} // namespace auburndoor
