#pragma once

#include "core/Clock.h"
#include "core/Identifier.h"
#include "membership/LoadSummary.h"

#include <string>

namespace auburndoor {

/** The announced state of an instance. */
struct Member
{
    InstanceId id;
    /** Rises with each start of a process with this id, so that late messages of an earlier process are dropped. */
    long long incarnation = 0;
    /** "ip:port" on which the instance accepts connections from peers. */
    std::string peerAddress;
    FailureDomainId failureDomain;
    RegionId region;
    /** When the last heartbeat or answer of the instance arrived. */
    TimePoint lastHeard;
    /** The version of the configuration that is in force in the instance. */
    long long configurationVersion = 0;
    /** True once the instance has begun a graceful shutdown. */
    bool isLeaving = false;
    LoadSummary summary;
};

} // namespace auburndoor
