#pragma once

#include "fleet/WorkerManager.h"
#include "http/HttpServer.h"
#include "membership/Member.h"
#include "ownership/OwnershipAgent.h"
#include "peer/PeerServer.h"
#include "storage/PlatformConnection.h"

#include <memory>

namespace auburndoor {

class Clock;
class Placer;
struct Settings;

/** Converts the settings of an instance into the options of its modules. */
class InstanceOptions
{
public:
    static PlatformOptions platform(const Settings &settings);
    static std::unique_ptr<Placer> placer(const Settings &settings);
    static WorkerManagerOptions workers(const Settings &settings);
    static HttpServerOptions callers(const Settings &settings);
    static HttpServerOptions operators(const Settings &settings);
    static PeerServerOptions peers(const Settings &settings);

    /** Describes this instance for its peers. The incarnation is the wall-clock time of the start in milliseconds, which is later
     * than that of any earlier process. */
    static Member self(const Settings &settings, int peersPort, Clock &clock);

    static OwnershipOptions ownership(const Settings &settings, const Member &self);

    /** The longest time between two heartbeats to a member. Shorter than the heartbeat period of the settings, to leave time for
     * the exchange, but not below the summary floor. */
    static Milliseconds restPeriod(const Settings &settings);
};

} // namespace auburndoor
