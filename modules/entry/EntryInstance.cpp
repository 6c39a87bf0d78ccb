#include "core/BuildVersion.h"
#include "entry/EntryInstanceImpl.h"
#include "entry/OwnerShare.h"
#include "entry/PeerCodec.h"
#include "entry/WorkerRelayAssignment.h"
#include "net/EventLoop.h"
#include "observability/EventLog.h"

#include <algorithm>

namespace auburndoor {

namespace {

constexpr Milliseconds logFlushInterval { 100 };
// The load balancer stops sending new connections after two failed readiness probes, which are a second apart.
constexpr Milliseconds balancerDrainDelay { 2200 };
// Part of the shutdown grace that is kept for the exit itself.
constexpr Milliseconds exitMargin { 700 };
// Open calls get their final answer this long before the latest time for the exit, so that it can reach the clients.
constexpr Milliseconds finalReplyMargin { 400 };
constexpr Milliseconds flushTimeout { 600 };
// Before the latest time for the final replies, the time for a successor to take over and answer what was forwarded to this
// process.
constexpr Milliseconds handOverDuration { 900 };

} // namespace

EntryInstance::Impl::Impl(const EntryDependencies &dependencies)
    : dependencies(dependencies)
    , loop(dependencies.loop)
    , advicePool(dependencies.loop, dependencies.advisor, dependencies.settings.peers, [this] { return leadership.members(); })
    , leadership(dependencies.loop,
                 dependencies.store,
                 dependencies.settings,
                 {},
                 { [this](const Ownership &ownership) { onOwnershipWon(ownership); },
                   [this] { return ownHeartbeat(); },
                   [this] {
                       if (owner) {
                           owner->noteSuccessor();
                       }
                   },
                   [this] { return desiredState.current().version; },
                   [this] { desiredStateExchange.fetchNewer(); } })
    , relayTransport(dependencies.loop)
    , relayPool(
          dependencies.loop,
          relayTransport,
          [this] { return leadership.members(); },
          std::min(dependencies.settings.maxDirectWorkers, WorkerRelayAssignment::directCapacity(dependencies.settings.linkMbps)))
    , workerClients(dependencies.loop, relayPool, dependencies.workerChannels, dependencies.settings.maxLease)
    , workerRelay(
          dependencies.loop,
          dependencies.workerChannels,
          [&settings = dependencies.settings] { return settings.processorShare; },
          dependencies.settings.failureDomain)
    , callForwarder(
          dependencies.loop,
          [this] { return owner.get(); },
          [this] { return leadership.ownerAddress(); })
    , desiredState(
          dependencies.loop,
          dependencies.store,
          storeTimeline,
          dependencies.protocol,
          [this](const DesiredState &newState) {
              clientListener.setRequestTimeouts(newState.headerTimeout, newState.idleTimeout);
              if (owner) {
                  owner->setDesiredState(newState);
              }
          },
          dependencies.metrics)
    , desiredStateExchange(dependencies.loop, desiredState, leadership)
    , newerStateForwarder(dependencies.loop)
    , callReader(dependencies.loop, dependencies.protocol, desiredState, dependencies.metrics)
    , connectionBudget(dependencies.loop, dependencies.settings)
    , clientListener(
          dependencies.loop,
          connectionBudget.limits().clients,
          [this](WebRequest request, HttpResponderPointer responder) { serveClient(std::move(request), std::move(responder)); },
          connectionBudget.memory(),
          ConnectionPurpose::Clients)
    , readinessListener(
          dependencies.loop,
          connectionBudget.limits().readiness,
          [this](const WebRequest &request, HttpResponderPointer responder) {
              const bool isKnown = this->dependencies.protocol.isReadinessRequest(request);
              responder->reply({ !isKnown ? 404 : isReady() ? 200 : 503, {}, {} });
          },
          connectionBudget.memory(),
          ConnectionPurpose::Control)
    , peerListener(
          dependencies.loop,
          connectionBudget.limits().peers,
          [this](WebRequest request, HttpResponderPointer responder) { servePeer(std::move(request), std::move(responder)); },
          connectionBudget.memory(),
          ConnectionPurpose::Peers)
    , operatorListener(
          dependencies.loop,
          connectionBudget.limits().operators,
          [this](const WebRequest &request, const HttpResponderPointer &responder) { serveOperator(request, *responder); },
          connectionBudget.memory(),
          ConnectionPurpose::Control)
{
    clientListener.setHeaderCheck([this](const WebRequest &request) {
        return desiredStateExchange.holderOfNewerState() ? std::nullopt : callReader.refuseEarly(request);
    });
    peerListener.setHeaderCheck([](const WebRequest &request) {
        return PeerCodec::isPath(request.target) ? std::nullopt : std::optional(WebReply { 404, {}, {} });
    });
}

bool EntryInstance::Impl::isReady() const
{
    const bool hasOwner = (owner && owner->isReady()) || leadership.isOwnerReady();
    return !isStopping && desiredState.current().version > 0 && hasOwner;
}

void EntryInstance::Impl::onOwnershipWon(const Ownership &ownership)
{
    const OwnerDependencies ownerDependencies { loop,       dependencies.store,    storeTimeline,        workerClients,
                                                advicePool, dependencies.protocol, dependencies.settings };
    owner = std::make_unique<Owner>(ownerDependencies, ownership, [this] {
        owner.reset();
        leadership.stepDown();
    });
    owner->setDesiredState(desiredState.current());
    owner->start();
}

std::optional<OwnerHeartbeat> EntryInstance::Impl::ownHeartbeat()
{
    if (!owner) {
        return std::nullopt;
    }
    OwnerHeartbeat heartbeat;
    heartbeat.owner = dependencies.settings.nodeName;
    heartbeat.token = owner->token();
    heartbeat.storeStallDuration = owner->storeStallDuration();
    heartbeat.stalledTable = owner->stalledTable();
    heartbeat.isReady = owner->isReady();
    heartbeat.desiredStateVersion = desiredState.current().version;
    heartbeat.processorShare = ownerShare(dependencies.settings);
    return heartbeat;
}

void EntryInstance::Impl::flushLog()
{
    connectionBudget.report();
    EventLog::flush();
    loop.after(logFlushInterval, [self = shared_from_this()] { self->flushLog(); });
}

void EntryInstance::Impl::handOver()
{
    if (!owner) {
        return;
    }
    owner->flush(flushTimeout, [self = shared_from_this()](const Ownership &ownership) {
        if (self->owner) {
            self->leadership.release(ownership, [self] { self->owner.reset(); });
        }
    });
}

void EntryInstance::Impl::logStopped() const
{
    const auto load = clientListener.load();
    EventLog::write("process.stopped",
                    { { "open_requests", load.openRequests },
                      { "unwritten_replies", load.unwrittenReplies },
                      { "partial_requests", load.partialRequests },
                      { "idle_connections", load.idleConnections },
                      { "discarded_requests", load.discardedRequests },
                      { "oldest_request_ms", load.oldestAge.count() },
                      { "peer_requests", peerListener.openRequests() } });
}

EntryInstance::EntryInstance(const EntryDependencies &dependencies) : impl_(std::make_shared<Impl>(dependencies))
{
}

EntryInstance::~EntryInstance() = default;

bool EntryInstance::start(std::string &error)
{
    const auto &settings = impl_->dependencies.settings;
    if (!impl_->clientListener.listen(settings.clients, error) || !impl_->readinessListener.listen(settings.readiness, error)
        || !impl_->peerListener.listen(settings.peers, error) || !impl_->operatorListener.listen(settings.operators, error)) {
        return false;
    }
    impl_->desiredState.start();
    impl_->leadership.start();
    impl_->flushLog();
    impl_->desiredStateExchange.start();
    EventLog::write(
        "process.started",
        { { "version", buildVersion() }, { "clients", settings.clients.text() }, { "domain", settings.failureDomain } });
    return true;
}

void EntryInstance::shutDown(std::function<void()> done)
{
    if (std::exchange(impl_->isStopping, true)) {
        return;
    }
    EventLog::write("process.stopping", { { "owner", impl_->owner != nullptr } });
    impl_->leadership.disableTakeover();
    const auto maxDuration = impl_->dependencies.settings.shutdownGrace - exitMargin;
    // Where stops follow each other closely, each owner goes on for as long as it can: a successor has to read what runs first.
    impl_->loop.after(std::max(Milliseconds(0), maxDuration - finalReplyMargin - handOverDuration),
                      [impl = impl_] { impl->handOver(); });
    impl_->loop.after(maxDuration - finalReplyMargin, [impl = impl_] {
        impl->callForwarder.close();
        impl->newerStateForwarder.close();
    });
    const ListenerDrainTiming timing { .acceptDuration = std::min(balancerDrainDelay, maxDuration), .maxDuration = maxDuration };
    impl_->drain = std::make_unique<ListenerDrain>(
        impl_->loop, impl_->clientListener, impl_->peerListener, timing, [impl = impl_.get()] { return impl->owner != nullptr; });
    impl_->drain->start([impl = impl_, done = std::move(done)] {
        impl->logStopped();
        EventLog::flush();
        done();
    });
}

} // namespace auburndoor
