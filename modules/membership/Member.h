#pragma once

#include "core/Clock.h"
#include "core/Identifier.h"
#include "membership/LoadSummary.h"

#include <string>

namespace auburndoor {

/** What an instance knows of another one. */
struct Member
{
    InstanceId id;
    /** Rises with each start of the process, so that messages of an earlier process are dropped. */
    long long incarnation = 0;
    /** "ip:port" of the peers' listener. */
    std::string peerAddress;
    FailureDomainId failureDomain;
    RegionId region;
    /** When the last heartbeat arrived. */
    TimePoint lastHeard;
    /** The version of the configuration in force there. */
    long long configurationVersion = 0;
    /** True once the instance has begun a graceful shutdown. */
    bool isLeaving = false;
    LoadSummary summary;
};

} // namespace auburndoor
