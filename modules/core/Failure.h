#pragma once

#include <string>
#include <string_view>

namespace auburndoor {

/** The step of processing at which a failure occurred. */
enum class FailureStep {
    None,
    Authenticate,
    Parse,
    Validate,
    Admit,
    Queue,
    Reserve,
    Forward,
    Record,
    ClaimWorker,
    Start,
    Collect,
    Cancel,
    RenewLease,
    ReadTable,
    WriteTable,
    ReadObject,
    WriteObject,
    ListInstances,
    Heartbeat,
    Ownership,
    Apply,
    Shutdown,
};

/** Why something failed or was refused. Its name is the label "reason" of the counters of refusals and retries. */
enum class FailureReason {
    None,
    BadCredentials,
    MalformedInput,
    TooLarge,
    UnknownName,
    MissingField,
    OutOfRange,
    NeverFits,
    NoCapacity,
    QuotaExceeded,
    QueueFull,
    DeadlineTooShort,
    DeadlinePassed,
    ShuttingDown,
    NotReady,
    NotOwner,
    StaleEpoch,
    Cancelled,
    Conflict,
    DuplicateKey,
    ConnectionFailed,
    ConnectionLost,
    TimedOut,
    Throttled,
    ServiceDown,
    BadReply,
    WorkerLeaving,
    WorkerFailed,
    RetryBudgetSpent,
    HopLimit,
    OutcomeUnknown,
};

/** The name of a step as logs, metrics and answers show it, such as "write-table". */
std::string_view name(FailureStep step);

/** The name of a reason as logs, metrics and answers show it, such as "no-capacity". */
std::string_view name(FailureReason reason);

/**
    Describes why a function returned an empty std::optional or an enum value that means failure.

    A function fills it only when it fails.
*/
struct Failure
{
    FailureStep step = FailureStep::None;
    /** The process at the other end (an instance or worker id, or an address); empty for a local failure. */
    std::string peer;
    FailureReason reason = FailureReason::None;
    /** Human-readable description of what went wrong. */
    std::string message;

    /** The failure as "step reason at peer: message"; an empty peer or message is left out. */
    std::string text() const;
};

} // namespace auburndoor
