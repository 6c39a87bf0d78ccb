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

/** Translates the settings of an instance into the options of its parts. */
class InstanceOptions
{
public:
    static PlatformOptions platform(const Settings &settings);
    static std::unique_ptr<Placer> placer(const Settings &settings);
    static WorkerManagerOptions workers(const Settings &settings);
    static HttpServerOptions callers(const Settings &settings);
    static HttpServerOptions operators(const Settings &settings);
    static PeerServerOptions peers(const Settings &settings);

    /** This instance as its peers see it. The incarnation is the time of the start, which is later than that of any earlier
     * process. */
    static Member self(const Settings &settings, int peersPort, Clock &clock);

    static OwnershipOptions ownership(const Settings &settings, const Member &self);

    /** The period of heartbeats at rest, which leaves time for the exchange within the period of the settings. */
    static Milliseconds restPeriod(const Settings &settings);
};

} // namespace auburndoor
