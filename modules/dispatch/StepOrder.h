#pragma once

#include "dispatch/ScarcityOrder.h"
#include "dispatch/StepRank.h"

namespace auburndoor {

struct JobState;
struct OccurrenceState;
struct StepSpec;
struct StepState;

/** The work of one task by its estimate; zero for services, and for tasks that run on idle processor time. */
WorkAmount workOfTask(const StepSpec &step);

/** The rank of a step among those that have tasks to place. @param scarcity the order of the step's service */
StepRank rankStep(const StepState &step, TimePoint now, const ScarcityOrder &scarcity);

/** Notes the work of a step whose tasks have come to wait, once. */
void noteDemand(StepState &step, TimePoint now, ScarcityOrder &scarcity);

/**
    Adds waiting tasks of a step to a reading, unless its job is past its final deadline.

    @param need    of all its waiting tasks together
    @param hasRoom some worker may have room for one of them
*/
void addWaitingTasks(const StepState &step, const Resources &need, bool hasRoom, TimePoint now, ScarcityOrder::Reading &reading);

/** How much later the step could start and its job be in time; the longest time for services and scheduled jobs. */
Milliseconds slackLeft(const StepState &step, TimePoint now);

/** The work of those tasks of an occurrence that are not done, by their estimates. */
WorkAmount remainingWork(const JobState &job, const OccurrenceState &occurrence);

} // namespace auburndoor
