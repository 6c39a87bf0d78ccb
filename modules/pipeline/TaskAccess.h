#pragma once

#include "core/Clock.h"
#include "core/Identifier.h"
#include "worker/WorkerConnection.h"

#include <optional>

namespace auburndoor {

struct Failure;

/** Queries and cancels tasks on any worker of the cell, whichever instance owns it. Any thread. */
class TaskAccess
{
public:
    virtual ~TaskAccess() = default;

    /** @return empty if no owner of the worker could be reached before the deadline */
    virtual std::optional<TaskStatus> query(const WorkerId &worker, const TaskId &task, TimePoint deadline, Failure &failure) = 0;

    /** Stops a task, or forbids its start if it has not started. @return the state after that, or empty as for query() */
    virtual std::optional<TaskStatus> cancel(const WorkerId &worker, const TaskId &task, TimePoint deadline, Failure &failure) = 0;
};

} // namespace auburndoor
