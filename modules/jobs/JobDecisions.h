#pragma once

#include "jobs/Job.h"
#include "worker/WorkerConnection.h"

#include <span>
#include <vector>

namespace auburndoor {

struct Failure;
struct Hold;

/** The lease of a task on its worker; the worker stops the task if the lease is not renewed for this time. */
constexpr Milliseconds taskLease { 30'000 };

/**
    Added to the task lease before a task on an unresponsive worker counts as stopped; covers the difference in speed between the
    clocks of the instance and the worker.
*/
constexpr Milliseconds leaseMargin { 5000 };

/** The failure count of a service task is reset when the task ran for at least this long before it failed. */
constexpr Milliseconds stableRunTime { 60'000 };

/**
    Selects the waiting tasks to place now. For a gang these are all waiting tasks or none: none while a task of it is assigned
    or must not be placed yet. None for a job that is not active. The limit applies to batch and service jobs only.

    @param earliestPlacements for each task, the earliest time at which it may be placed
    @param taskLimit          the maximum number of tasks of a batch or service job
    @return indices of tasks in ascending order
*/
std::vector<std::size_t> selectTasksToPlace(const Job &job,
                                            std::span<const TimePoint> earliestPlacements,
                                            TimePoint now,
                                            std::size_t taskLimit);

/**
    Selects the assigned tasks that have to be stopped: all of a job that is being cancelled or is failing, and all of a gang in
    which another task waits again, since the tasks of a gang run all at once or not at all.

    @return indices of tasks in ascending order
*/
std::vector<std::size_t> selectTasksToCancel(const Job &job);

/**
    Updates a task from a worker's report on its current assignment. Reports with a state that is not terminal, or on another
    assignment, change nothing. Apply the failures of a gang's tasks before the stops, since a failure may have caused a stop.

    @param isStopOrdered true if this instance ordered the stop, which then does not count as a failure of the task
    @param runTime       how long the task ran, as far as this instance knows
*/
void applyReport(Job &job, std::size_t index, const TaskStatus &report, bool isStopOrdered, Milliseconds runTime);

/** Moves a job without assigned tasks to Done, Failed or Cancelled if it is ending or has no waiting tasks left. */
void endJobIfFinished(Job &job, WallTime now);

/** Records in the job that a task is assigned to a worker. @param owner the instance that owns the worker */
void assignTask(Job &job, std::size_t index, const WorkerId &worker, const InstanceId &owner);

/** True if a task in this state does not run and cannot start any more: all states but Unknown and Running. */
bool isTerminal(TaskState state);

/** True if the failure says that the worker's owner called the worker and got no answer. */
bool isWorkerUnresponsive(const Failure &failure, const WorkerId &worker);

/** The time until the state of a running task is queried again: an eighth of its age, between 250 ms and 10 s. */
Milliseconds calculateQueryPeriod(Milliseconds age);

/**
    The limit of the delay before the next attempt to find places, start a task again or save a job;
    GangCoordinator::chooseRetryDelay() draws a random delay from it.

    @param attempt the number of failed attempts before, from 0
*/
Milliseconds calculateRetryDelayLimit(Priority priority, int attempt);

/**
    Chooses a place for each task. Tasks that were assigned before choose first and avoid the worker of their last assignment if
    another place is left.

    @param workers the worker of each place
    @return for each task the index of its place, or the number of places if none is left
*/
std::vector<std::size_t> matchPlaces(const Job &job, std::span<const std::size_t> tasks, std::span<const WorkerId> workers);

} // namespace auburndoor
