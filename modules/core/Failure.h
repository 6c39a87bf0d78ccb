#pragma once

#include <string>
#include <string_view>

namespace auburndoor {

/** The step of the work at which a failure arose. */
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

/** Why something failed or was refused. Each value is a label of the counter of refusals and retries. */
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
    The last reason of a function that returned an empty std::optional (or an enum that says it failed).

    A function fills it only when it fails.
*/
struct Failure
{
    FailureStep step = FailureStep::None;
    /** The process at the other end (an instance or worker id, or an address); empty for a local failure. */
    std::string peer;
    FailureReason reason = FailureReason::None;
    /** What went wrong, for a person to read. */
    std::string message;

    /** "step reason at peer: message". */
    std::string text() const;
};

} // namespace auburndoor
