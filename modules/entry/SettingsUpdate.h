#pragma once

#include <string>
#include <vector>

namespace auburndoor {

struct EntrySettings;

/**
    Applies the lease, shutdown, retention and early-start times of newly read settings while the process runs, and a shorter
   lifetime of directory entries.

    Open connections and calls are not interrupted. Addresses, node name, failure domain and processor share change only with a
    restart.

    @param inForce the settings in use, which are changed
    @param read    the newly read settings
    @return        the names of the settings that differ and need a restart
*/
std::vector<std::string> updateSettings(EntrySettings &inForce, const EntrySettings &read);

} // namespace auburndoor
