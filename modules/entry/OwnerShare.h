#pragma once

#include "entry/EntrySettings.h"

#include <algorithm>

namespace auburndoor {

/**
    How much of an owner's work this machine can carry, as a share of a processor core: a slow link limits it as a slow processor
    does.

    At its takeover an owner reads all jobs and workers, some megabytes in a large cell, before it can serve; a link of 10 Mbit/s
    takes about a second for that.
*/
inline double ownerShare(const EntrySettings &settings)
{
    constexpr double linkMbpsOfCore = 100.0;
    return std::min(settings.processorShare, settings.linkMbps / linkMbpsOfCore);
}

} // namespace auburndoor
