#pragma once

#include "core/Clock.h"
#include "core/Identifier.h"
#include "worker/WorkerConnection.h"

#include <map>
#include <string>
#include <vector>

namespace auburndoor {

/** How the end of a task is learned. */
enum class FollowMode {
    /** The task is known to have started; it has ended when the worker no longer reports it as running. */
    Running,
    /** The task may or may not have started; it is cancelled until the worker's report is definite. */
    Unresolved,
};

/** The tasks of one worker whose end is awaited. Not thread-safe; a pure decision over reports. */
class FollowedTasks
{
public:
    void add(const TaskId &task, FollowMode mode, TimePoint now);

    /** Tasks that the report shows as ended; they are forgotten. A task added after the report was asked for is left alone. */
    std::vector<TaskId> takeEnded(const WorkerReport &report, TimePoint reportAsked);

    /** Tasks that are to be cancelled. */
    std::vector<TaskId> unresolved() const;

    /** Forgets a task whose fate is known. */
    void remove(const TaskId &task);

    bool contains(const TaskId &task) const;

    /**
        When the worker should be asked again.

        A task of age a is asked for every a/8, so that at most an eighth of its run time passes before its room is free again, with
       a number of questions that grows with the logarithm of the run time.
    */
    TimePoint nextQuestion(TimePoint now, Milliseconds longest) const;

private:
    struct Entry
    {
        FollowMode mode = FollowMode::Running;
        TimePoint since;
    };

    std::map<TaskId, Entry> entries_;
};

} // namespace auburndoor
