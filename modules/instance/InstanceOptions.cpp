#include "instance/InstanceOptions.h"

#include "core/RandomId.h"
#include "placement/BestFitPlacer.h"
#include "placement/FirstFitPlacer.h"
#include "placement/RandomPlacer.h"
#include "settings/Settings.h"

namespace auburndoor {

namespace {

HttpServerOptions makeListenerOptions(const ListenerSettings &settings)
{
    HttpServerOptions options;
    options.address = settings.address;
    options.port = settings.port;
    options.threadCount = static_cast<std::size_t>(settings.threads);
    options.waitingConnectionLimit = static_cast<std::size_t>(settings.waitingConnections);
    options.maxBodyBytes = settings.maxBodyBytes;
    return options;
}

} // namespace

PlatformOptions InstanceOptions::platform(const Settings &settings)
{
    PlatformOptions options;
    options.addresses = settings.platform.addresses;
    return options;
}

std::unique_ptr<Placer> InstanceOptions::placer(const Settings &settings)
{
    switch (settings.placement.policy) {
    case PlacementPolicy::FirstFit:
        return std::make_unique<FirstFitPlacer>();
    case PlacementPolicy::Random:
        return std::make_unique<RandomPlacer>(static_cast<std::uint64_t>(randomBelow(1LL << 62)));
    case PlacementPolicy::BestFit:
        break;
    }
    return std::make_unique<BestFitPlacer>();
}

WorkerManagerOptions InstanceOptions::workers(const Settings &settings)
{
    WorkerManagerOptions options;
    options.self = settings.instance.id;
    options.shardsPerDomain = settings.ownership.shardsPerDomain;
    options.taskLease = settings.tasks.lease;
    options.renewalPeriod = settings.tasks.renewal;
    return options;
}

HttpServerOptions InstanceOptions::callers(const Settings &settings)
{
    return makeListenerOptions(settings.callers);
}

HttpServerOptions InstanceOptions::operators(const Settings &settings)
{
    return makeListenerOptions(settings.operators);
}

PeerServerOptions InstanceOptions::peers(const Settings &settings)
{
    PeerServerOptions options;
    options.address = settings.peers.address;
    options.port = settings.peers.port;
    options.secret = settings.peers.secret;
    return options;
}

Member InstanceOptions::self(const Settings &settings, int peersPort, Clock &clock)
{
    Member self;
    self.id = settings.instance.id;
    self.incarnation = std::chrono::duration_cast<Milliseconds>(clock.wallNow().time_since_epoch()).count();
    self.peerAddress = settings.peers.address + ":" + std::to_string(peersPort);
    self.failureDomain = settings.instance.failureDomain;
    self.region = settings.instance.region;
    self.lastHeard = clock.now();
    return self;
}

OwnershipOptions InstanceOptions::ownership(const Settings &settings, const Member &self)
{
    OwnershipOptions options;
    options.id = self.id;
    options.incarnation = self.incarnation;
    options.peerAddress = self.peerAddress;
    options.failureDomain = self.failureDomain;
    options.region = self.region;
    options.shardsPerDomain = settings.ownership.shardsPerDomain;
    options.mode = settings.placement.ownership == PlacementOwnership::Single ? OwnershipMode::Single : OwnershipMode::Sharded;
    options.timing.leaseTime = settings.ownership.lease;
    options.timing.renewPeriod = settings.ownership.renewal;
    options.timing.stabilizationTime = settings.ownership.lease * 2;
    return options;
}

Milliseconds InstanceOptions::restPeriod(const Settings &settings)
{
    constexpr Milliseconds exchangeTime { 75 };
    return std::max(settings.membership.heartbeatPeriod - exchangeTime, settings.membership.summaryFloor);
}

} // namespace auburndoor
