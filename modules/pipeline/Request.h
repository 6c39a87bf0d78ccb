#pragma once

#include "core/Clock.h"
#include "core/Failure.h"
#include "core/Identifier.h"
#include "core/Resources.h"
#include "declaration/Declaration.h"

#include <string>
#include <string_view>

namespace auburndoor {

/** A caller's request as the filters of the pipeline handle it. */
struct Request
{
    RequestId id;
    TeamId team;
    ServiceId service;
    /** Kind of work within the service, for run-time estimates; may be empty. */
    std::string kind;
    Priority priority = Priority::Normal;
    Resources need;
    /** Given by the caller; empty if none. */
    std::string idempotencyKey;
    /** False for work that must not run twice; such a request needs an idempotency key. */
    bool isRepeatable = true;
    /** On the steady clock of this process; between peers the remaining time is sent instead. */
    TimePoint deadline;
    TimePoint arrival;
    /** How many instances have forwarded the request; 0 at its entry instance. */
    int hopCount = 0;
    std::string body;
};

enum class OutcomeStatus {
    /** The task ran and this is its whole answer. */
    Answered,
    /** The task ran and reported an error of its own. */
    TaskFailed,
    /** No worker ran the task and none will; this is certain. */
    NotRun,
    /** The task may have run or may still run. */
    Unknown,
};

/** The name of a status as logs, metrics and answers show it, such as "not-run". */
std::string_view name(OutcomeStatus status);

/** How a request ended. */
struct Outcome
{
    OutcomeStatus status = OutcomeStatus::NotRun;
    /** The task's answer (Answered) or its error (TaskFailed). */
    std::string answer;
    /** Why there is no answer; set for NotRun and Unknown. */
    Failure failure;
    /** How long the caller should wait before it tries again; zero if trying again does not help. */
    Milliseconds retryAfter { 0 };
    /** The worker that ran the task; empty if not known. */
    WorkerId worker;
    /** Time from the arrival of the request to the start of its task on a worker. */
    Milliseconds waited { 0 };
};

} // namespace auburndoor
