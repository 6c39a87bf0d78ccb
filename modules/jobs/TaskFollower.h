#pragma once

#include "jobs/OwnerGateway.h"

#include <map>
#include <optional>
#include <string>

namespace auburndoor {

class Metrics;

/** What an owner knows, in memory only, of the present assignment of a task. */
struct FollowedTask
{
    TaskId id;
    /** When it was started, or first seen by this owner. */
    TimePoint since;
    TimePoint nextQuery;
    /** The last report that was not definite. */
    bool isRunning = false;
    /** True once this owner has ordered it to stop. */
    bool isRecalled = false;
    /** Set once it is certain that it does not run and will not run. */
    std::optional<TaskStatus> report;
    /** How long it was followed until then. */
    Milliseconds ranFor { 0 };
    /** The first and the last report, in an unbroken row, that its worker does not answer its owner. */
    std::optional<TimePoint> silentSince;
    TimePoint lastSilent;
};

/**
    Asks after tasks until it is certain that they do not run any more. One thread.

    That is the case after a definite report, or when the owner of the worker has reported for the task lease plus a margin, without
    a break, that the worker does not answer. An owner that has renewed the worker's lease since must not report that. If no
    instance knows the worker, nothing is certain: it may be on the far side of a partition with an owner that renews its lease.
*/
class TaskFollower
{
public:
    /** @param gateway, clock and metrics must outlive the follower */
    TaskFollower(OwnerGateway &gateway, Clock &clock, Metrics &metrics);

    /** Asks after a task. A worker that does not know the task is told never to start it. @param owner hint */
    void query(FollowedTask &task, const InstanceId &owner, const WorkerId &worker);

    /** Enters that the owner of the task's worker has reported it as running. */
    void enterRunning(FollowedTask &task);

    /** Orders a task to stop. */
    void cancel(FollowedTask &task, const InstanceId &owner, const WorkerId &worker);

private:
    bool isKnownSilent(FollowedTask &task, const WorkerId &worker);
    void enter(FollowedTask &task, const TaskStatus &report);
    void enterFailure(FollowedTask &task, const WorkerId &worker, const Failure &failure);
    void enterSilence(FollowedTask &task, TimePoint time);

    OwnerGateway &gateway_;
    Clock &clock_;
    Metrics &metrics_;
    /** When workers were last reported as silent; their other tasks are not asked after one by one. */
    std::map<WorkerId, TimePoint> silentWorkers_;
};

} // namespace auburndoor
