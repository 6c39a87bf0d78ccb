#pragma once

#include "jobs/OwnerGateway.h"

#include <map>
#include <optional>
#include <string>

namespace auburndoor {

class Metrics;

/** What the owner of a job's shard knows of the current assignment of a task. Not recorded. */
struct TrackedTask
{
    TaskId id;
    /** When this instance started the task or first saw the assignment. */
    TimePoint since;
    TimePoint nextQuery;
    /** True if the last report said that the task runs, or its start was answered. */
    bool isRunning = false;
    /** True once this instance has decided to stop the task. */
    bool isStopOrdered = false;
    /** Set once it is certain that the assignment does not run and will not run. */
    std::optional<TaskStatus> report;
    /** The time from `since` to the terminal report, or to the first sign that the worker was unresponsive. */
    Milliseconds runTime { 0 };
    /** The time of the first report, in the current unbroken series, that the worker does not answer its owner. */
    std::optional<TimePoint> unresponsiveSince;
    /** The time of the last report of that series. */
    TimePoint lastUnresponsive;
};

/**
    Queries tasks until it is certain that they do not run any more. Not thread-safe.

    This is certain after a terminal report, or when the worker's owner has reported without a break, for the task lease plus a
    margin, that the worker does not answer. An owner that has renewed the worker's lease in this time must not report that. If no
    instance owns the worker, a task may still run: the worker may be in another network partition, with an owner that renews its
    lease.
*/
class TaskTracker
{
public:
    /** @param gateway, clock and metrics must outlive the tracker */
    TaskTracker(OwnerGateway &gateway, Clock &clock, Metrics &metrics);

    /**
        Queries a task. A worker that does not know the task is told never to start it.

        @param owner the owner of the worker at assignment
    */
    void query(TrackedTask &task, const InstanceId &owner, const WorkerId &worker);

    /** Updates a task that the owner of its worker has reported as running. */
    void markRunning(TrackedTask &task);

    /** Orders the worker to stop a task. @param owner the owner of the worker at assignment */
    void cancel(TrackedTask &task, const InstanceId &owner, const WorkerId &worker);

private:
    /** Updates the task and returns true if its worker was found unresponsive within the last second. */
    bool skipIfUnresponsive(TrackedTask &task, const WorkerId &worker);
    void applyReport(TrackedTask &task, const TaskStatus &report);
    void applyFailure(TrackedTask &task, const WorkerId &worker, const Failure &failure);
    void applyUnresponsive(TrackedTask &task, TimePoint time);

    OwnerGateway &gateway_;
    Clock &clock_;
    Metrics &metrics_;
    /** When workers were last reported as unresponsive; their other tasks are then not queried one by one. */
    std::map<WorkerId, TimePoint> unresponsiveWorkers_;
};

} // namespace auburndoor
