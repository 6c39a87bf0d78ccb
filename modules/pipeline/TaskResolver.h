#pragma once

#include "core/Clock.h"
#include "pipeline/Request.h"
#include "worker/WorkerConnection.h"

#include <condition_variable>
#include <mutex>
#include <optional>

namespace auburndoor {

class TaskAccess;

/**
    Finds out what became of a task whose answer was lost.

    A task that runs is waited for; one that the worker has not seen is forbidden there, so that it counts as not run for good. Any
    thread; blocks until the fate is definite or the deadline has passed.
*/
class TaskResolver
{
public:
    TaskResolver(Clock &clock, TaskAccess &tasks);

    /**
        @param grace how long a task may be unknown to its worker before it is forbidden, since its start may still be on its way
        @return Answered, TaskFailed or NotRun if definite, else Unknown
    */
    Outcome resolve(const WorkerId &worker, const TaskId &task, Milliseconds grace, TimePoint deadline);

private:
    std::optional<Outcome> decide(const TaskStatus &state, const WorkerId &worker) const;
    void pause(TimePoint deadline);

    Clock &clock_;
    TaskAccess &tasks_;
    std::mutex mutex_;
    std::condition_variable condition_;
};

} // namespace auburndoor
