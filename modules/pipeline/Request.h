#pragma once

#include "core/Clock.h"
#include "core/Failure.h"
#include "core/Identifier.h"
#include "core/Resources.h"
#include "declaration/Declaration.h"

#include <string>
#include <string_view>

namespace auburndoor {

/** One request of a caller on its way through the pipeline. */
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
    bool isRepeatable = true;
    /** On this process's steady clock; peers exchange the remaining time. */
    TimePoint deadline;
    TimePoint arrival;
    /** How many instances have forwarded it. */
    int hopCount = 0;
    std::string body;
};

enum class OutcomeStatus {
    /** The task ran and this is its whole answer. */
    Answered,
    /** The task ran and reported an error of its own. */
    TaskFailed,
    /** Definite: no worker ran it and none will. */
    NotRun,
    /** It may have run. */
    Unknown,
};

/** The name of a status as logs, metrics and answers show it, such as "not-run". */
std::string_view name(OutcomeStatus status);

/** What became of a request. */
struct Outcome
{
    OutcomeStatus status = OutcomeStatus::NotRun;
    /** The answer, or the task's error. */
    std::string answer;
    /** For NotRun and Unknown. */
    Failure failure;
    /** When a caller may try again; zero if it makes no sense. */
    Milliseconds retryAfter { 0 };
    /** The worker that ran it; empty if not known. */
    WorkerId worker;
    /** Time from arrival to the start on a worker. */
    Milliseconds waited { 0 };
};

} // namespace auburndoor
