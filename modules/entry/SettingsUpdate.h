#pragma once

#include <string>
#include <vector>

namespace auburndoor {

struct EntrySettings;

/**
    Takes over the limits of newly read settings while the process runs; nothing is interrupted.

    Addresses, the name and the share of the processor hold until the next start.

    @return the names of the settings that have changed and need a restart
*/
std::vector<std::string> updateSettings(EntrySettings &inForce, const EntrySettings &read);

} // namespace auburndoor
