#pragma once

#include "jobs/Job.h"
#include "worker/WorkerConnection.h"

#include <span>
#include <vector>

namespace auburndoor {

struct Failure;
struct Hold;

/** Lease of a task on its worker; without renewal the worker itself stops the task after this time. */
constexpr Milliseconds taskLease { 30'000 };

/** Added to the task lease before a task of a silent worker counts as stopped; covers the difference in speed of two clocks. */
constexpr Milliseconds leaseMargin { 5000 };

/** A service task that ran for this long before it failed starts its count of failures anew. */
constexpr Milliseconds stableRun { 60'000 };

/**
    The tasks to place now, as indices in ascending order: for a gang all that are not done or none, else as many as the limit
   allows.

    @param notBefore for each task, when it may be placed again after a failure
*/
std::vector<std::size_t> tasksToPlace(const Job &job, std::span<const TimePoint> notBefore, TimePoint now, std::size_t limit);

/**
    The assigned tasks that have to be stopped: all of a job that is ending, and all of a gang that has lost a member, since a gang
    runs as a whole or not at all.
*/
std::vector<std::size_t> tasksToCancel(const Job &job);

/**
    Enters what a worker reported about the present assignment of a task. Reports that are not definite, or that belong to another
    assignment, change nothing. For a gang, enter failures before stops, which may follow from them.

    @param isRecalled true if this instance ordered the stop, so that it is no failure of the task
    @param ranFor     how long the task ran, as far as it is known
*/
void applyReport(Job &job, std::size_t index, const TaskStatus &report, bool isRecalled, Milliseconds ranFor);

/** Moves a job to its last phase if nothing of it can run any more. */
void settle(Job &job, WallTime now);

/** Enters the assignment of a task to a worker. */
void assign(Job &job, std::size_t index, const WorkerId &worker, const InstanceId &owner);

/** True if the worker's state settles whether the assignment may still run. */
bool isDefinite(TaskState state);

/** True if the failure says that the worker's owner asked the worker and got no answer. */
bool isSilence(const Failure &failure, const WorkerId &worker);

/** How long to wait until the state of a running task is asked again: an eighth of its age, between 250 ms and 10 s. */
Milliseconds queryPeriod(Milliseconds age);

/** The longest wait until a job without room, or a task that failed, is tried again. @param attempt counts from 0 */
Milliseconds retryLimit(Priority priority, int attempt);

/**
    Chooses a place for each task so that none returns to the worker of its last assignment if another place is left.

    @param workers the workers of the places @return for each task the index of its place; the number of places if there is none
   left
*/
std::vector<std::size_t> matchPlaces(const Job &job, std::span<const std::size_t> tasks, std::span<const WorkerId> workers);

} // namespace auburndoor
