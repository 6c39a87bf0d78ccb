#pragma once

#include "dispatch/PreemptibleRun.h"
#include "dispatch/WorkerState.h"

#include <optional>

namespace auburndoor {

struct JobState;
struct StepState;
struct Task;

/**
    What a stop of the run now would cost, by the deadlines of its job and the progress that it has reported.

    @param isProtected as ScarcityOrder::isProtected()
*/
StopCost stopCostOf(const Run &run, const JobState &job, const Task &task, TimePoint now, bool isProtected);

/** Which runs the step may preempt: the more it gains by its start, the more a stop may cost. Empty if it may preempt none. */
std::optional<PreemptionRight> preemptionRightOf(const StepState &step, TimePoint now);

/** What the start of one task of the step gains, see PreemptionValue. */
WorkAmount startGainOf(const StepState &step);

} // namespace auburndoor
