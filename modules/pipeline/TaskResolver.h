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
    Finds out how a task ended whose answer was lost.

    It waits for a task that runs. A task that its worker does not know is cancelled there, so that it can no longer start and
   NotRun is certain. Any thread; blocks until the outcome is certain or the deadline has passed.
*/
class TaskResolver
{
public:
    TaskResolver(Clock &clock, TaskAccess &tasks);

    /**
        @param startGracePeriod how long a task may be unknown to its worker, since its start may still arrive, before it is
       cancelled
        @return Answered, TaskFailed or NotRun if that is certain, else Unknown
    */
    Outcome resolve(const WorkerId &worker, const TaskId &task, Milliseconds startGracePeriod, TimePoint deadline);

private:
    /** @return empty if the task runs or is not known to its worker */
    std::optional<Outcome> evaluateStatus(const TaskStatus &status, const WorkerId &worker) const;
    void waitForNextQuery(TimePoint deadline);

    Clock &clock_;
    TaskAccess &tasks_;
    std::mutex mutex_;
    std::condition_variable condition_;
};

} // namespace auburndoor
