#pragma once

#include "core/Clock.h"
#include "core/Identifier.h"
#include "worker/WorkerConnection.h"

#include <map>
#include <string>
#include <vector>

namespace auburndoor {

/** How the end of a tracked task is detected. */
enum class TrackingMode {
    /** The task is known to have started; it has ended when the worker no longer reports it as running. */
    Running,
    /** It is not known whether the task has started; it is cancelled repeatedly until the worker reports a definite state. */
    Unresolved,
};

/** The tasks of one worker whose end has not been seen yet. Sends nothing itself. Not thread-safe. */
class TrackedTasks
{
public:
    /** Starts to track a task, or replaces its mode and start time. */
    void add(const TaskId &task, TrackingMode mode, TimePoint now);

    /**
        Removes and returns the tasks in the mode Running that the report no longer shows as running. A task that was added after
        the report was requested is kept, since the report may be older than its start.
    */
    std::vector<TaskId> takeEnded(const WorkerReport &report, TimePoint reportRequestTime);

    /** The tasks in the mode Unresolved, which are to be cancelled. */
    std::vector<TaskId> unresolved() const;

    /** Stops tracking a task whose state is definite. */
    void remove(const TaskId &task);

    bool contains(const TaskId &task) const;

    /**
        The time of the next exchange with the worker: after the longest period, or earlier for a young task.

        A task of age a is polled every a/8, at least 250 ms apart. The capacity of an ended task is thus released within an eighth
        of its run time, and the number of polls grows with the logarithm of the run time.
    */
    TimePoint nextPollTime(TimePoint now, Milliseconds longestPeriod) const;

private:
    struct Entry
    {
        TrackingMode mode = TrackingMode::Running;
        /** When the task was added. */
        TimePoint since;
    };

    std::map<TaskId, Entry> entries_;
};

} // namespace auburndoor
