#pragma once

namespace auburndoor {

/**
    Lets flags be written with hyphens, as in --check-settings.

    Abseil's flags have underscores in their names. Changes the names in place, and leaves values and other arguments alone. Call it
    before the flags are parsed.
*/
void acceptHyphens(int argumentCount, char **arguments);

} // namespace auburndoor
