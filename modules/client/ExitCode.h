#pragma once

namespace auburndoor {

/** The exit codes of auburndoor, documented in docs/protocols/operators.md. */
enum class ExitCode {
    Done = 0,
    /** Wrong subcommand, flag or argument, or a file that cannot be read; nothing was sent. */
    Usage = 1,
    /** The file has problems. */
    InvalidFile = 2,
    /** Another version than the expected one is in force. */
    Conflict = 3,
    /** The instance refused, and nothing has changed. */
    Refused = 4,
    /** The instance could not be reached, or a read-only request got no reply; nothing has changed. */
    Unreachable = 5,
    /** The command may have taken effect. */
    OutcomeUnknown = 6,
    /** The file is in force, but not every live instance confirmed it in time. */
    NotConfirmed = 7,
};

} // namespace auburndoor
