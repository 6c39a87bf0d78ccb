#pragma once

#include "core/Clock.h"

#include <optional>
#include <string>

namespace auburndoor {

/** What differs in the settings files of entry processes. */
struct EntryOptions
{
    std::string failureDomain = "z";
    /** The share of a processor core that the process may use. */
    double processorShare = 1.0;
    /** The longest lease that workers accept. */
    Milliseconds maxLease { 10000 };
    /** How long a worker may take to end a run; the settings do not tell without it. */
    std::optional<Milliseconds> killGrace = {};
    /** The interval of the workers' reports to the directory; the settings do not tell without it. */
    std::optional<Milliseconds> reportInterval = {};
    /** The memory of the machine, in MiB; the settings do not tell without it. */
    std::optional<int> memoryMb = {};
    /** The number of file descriptors that the process may use; the settings do not tell without it. */
    std::optional<int> maxFds = {};
};

} // namespace auburndoor
