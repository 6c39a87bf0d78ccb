#pragma once

namespace auburndoor {

/**
    Allows command-line flags to be written with hyphens, as in --check-settings.

    Abseil's flag names contain underscores, so this replaces the hyphens in flag names in place. Flag values, other arguments and
    everything after "--" stay unchanged. Must be called before the flags are parsed.
*/
void acceptHyphens(int argumentCount, char **arguments);

} // namespace auburndoor
