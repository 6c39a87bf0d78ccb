#include "core/Failure.h"

#include <array>

namespace auburndoor {

std::string_view name(FailureStep step)
{
    static constexpr std::array<std::string_view, 23> names {
        "none",        "authenticate", "parse",          "validate",  "admit",     "queue",       "reserve",    "forward",
        "record",      "seize",        "start",          "collect",   "cancel",    "renew-lease", "read-table", "write-table",
        "read-object", "write-object", "list-instances", "heartbeat", "ownership", "apply",       "shutdown",
    };
    return names.at(static_cast<std::size_t>(step));
}

std::string_view name(FailureReason reason)
{
    static constexpr std::array<std::string_view, 31> names {
        "none",
        "bad-credentials",
        "malformed-input",
        "too-large",
        "unknown-name",
        "missing-field",
        "out-of-range",
        "never-fits",
        "no-capacity",
        "quota-exceeded",
        "queue-full",
        "deadline-too-short",
        "deadline-passed",
        "shutting-down",
        "not-ready",
        "not-owner",
        "stale-epoch",
        "cancelled",
        "conflict",
        "duplicate-key",
        "connection-failed",
        "connection-lost",
        "timed-out",
        "throttled",
        "service-down",
        "bad-reply",
        "worker-leaving",
        "worker-failed",
        "retry-budget-spent",
        "hop-limit",
        "outcome-unknown",
    };
    return names.at(static_cast<std::size_t>(reason));
}

std::string Failure::text() const
{
    std::string text(name(step));
    text += ' ';
    text += name(reason);
    if (!peer.empty()) {
        text += " at " + peer;
    }
    if (!message.empty()) {
        text += ": " + message;
    }
    return text;
}

} // namespace auburndoor
