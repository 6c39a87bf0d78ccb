#pragma once

#include "core/Clock.h"
#include "net/Address.h"

#include <optional>
#include <string>

namespace auburndoor {

/** What one entry process is told when it starts. */
struct EntrySettings
{
    /** The name of this machine, unique in the cell. */
    std::string nodeName;
    std::string failureDomain;
    /** Where clients connect. */
    Address clients;
    /** Where the balancer asks whether this process takes new connections. */
    Address readiness;
    /** Where the other entry processes of the cell connect. */
    Address peers;
    /** Where operators read metrics and status. */
    Address operators;
    Address store;
    /** The advisory service; empty if there is none. */
    std::optional<Address> advisor;
    /** The share of a core that this process may use, from 0 to 1. */
    double processorShare = 1.0;

    /** The longest lease that a worker accepts. */
    Milliseconds maxLease { 10000 };
    /** From the stop signal until the process is killed. */
    Milliseconds shutdownGrace { 6000 };
    /** How long the state of an ended job is kept. */
    Milliseconds statusRetention { 120000 };
    /** How early a scheduled occurrence may start. */
    Milliseconds earlyStart { 250 };
};

} // namespace auburndoor
