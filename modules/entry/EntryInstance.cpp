#include "entry/EntryInstance.h"

#include "core/BuildVersion.h"
#include "entry/AdvicePool.h"
#include "entry/ClientCallReader.h"
#include "entry/ConnectionBudget.h"
#include "entry/DesiredStateExchange.h"
#include "entry/DesiredStateHolder.h"
#include "entry/HttpRelayTransport.h"
#include "entry/Leadership.h"
#include "entry/ListenerDrain.h"
#include "entry/NewerStateForwarder.h"
#include "entry/Owner.h"
#include "entry/OwnerCallForwarder.h"
#include "entry/OwnerShare.h"
#include "entry/PeerCodec.h"
#include "entry/RelayedWorkerClientFactory.h"
#include "entry/WorkerRelay.h"
#include "entry/WorkerRelayAssignment.h"
#include "entry/WorkerRelayPool.h"
#include "net/EventLoop.h"
#include "net/HttpListener.h"
#include "observability/EventLog.h"
#include "observability/Metrics.h"
#include "workload/StoreTimeline.h"

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

struct EntryInstance::Impl : std::enable_shared_from_this<EntryInstance::Impl>
{
    explicit Impl(const EntryDependencies &dependencies);

    void serveClient(WebRequest request, HttpResponderPointer responder);
    /** Decides a client's request by the desired state of this process. */
    void decideRequest(WebRequest request, HttpResponderPointer responder);
    /** Lets another process decide a client's request. @param holder the peer address of that process */
    void passOn(WebRequest request, const Address &holder, HttpResponderPointer responder);
    /** Decides a client's request that another process has passed on. */
    void servePassedRequest(const WebRequest &message, HttpResponderPointer responder);
    /** Passes a call to the owner and its answer to the client. */
    void forwardCall(const ClientCall &call, const HttpResponderPointer &responder);
    void servePeer(WebRequest request, HttpResponderPointer responder);
    void serveAdvice(const WebRequest &request, HttpResponderPointer responder);
    /** Starts an Owner. */
    void onOwnershipWon(const Ownership &ownership);
    /** The heartbeat of this process as the owner; empty if it is not the owner. */
    std::optional<OwnerHeartbeat> ownHeartbeat();
    /** True if this process can serve clients: it has a desired state, knows a ready owner and is not stopping. */
    bool isReady() const;
    void serveOperator(const WebRequest &request, HttpResponder &responder);
    void flushLog();
    /** Ends the ownership, if this process has it, so that another process takes over at once. */
    void handOver();
    /** Logs what the exit of this process leaves without an answer. */
    void logStopped() const;

    EntryDependencies dependencies;
    EventLoop &loop;
    /** Null unless this process is the owner. */
    std::unique_ptr<Owner> owner;
    AdvicePool advicePool;
    Leadership leadership;
    HttpRelayTransport relayTransport;
    WorkerRelayPool relayPool;
    RelayedWorkerClientFactory workerClients;
    /** Carries out the commands of another process that is the owner. */
    WorkerRelay workerRelay;
    OwnerCallForwarder callForwarder;
    /** Known from the operator's table before this process becomes the owner. */
    StoreTimeline storeTimeline;
    DesiredStateHolder desiredState;
    DesiredStateExchange desiredStateExchange;
    NewerStateForwarder newerStateForwarder;
    ClientCallReader callReader;
    ConnectionBudget connectionBudget;
    HttpListener clientListener;
    HttpListener readinessListener;
    HttpListener peerListener;
    HttpListener operatorListener;
    /** Null unless this process is stopping. */
    std::unique_ptr<ListenerDrain> drain;
    bool isStopping = false;
};

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

void EntryInstance::Impl::serveClient(WebRequest request, HttpResponderPointer responder)
{
    if (desiredState.current().version == 0) {
        const ClientResult result { .outcome = ClientResult::Outcome::Refused,
                                    .retryAfter = Milliseconds(500),
                                    .detail = "this process has not read a desired state yet" };
        responder->reply(dependencies.protocol.writeResult({}, result));
        return;
    }
    if (const auto holder = desiredStateExchange.holderOfNewerState()) {
        passOn(std::move(request), *holder, std::move(responder));
        return;
    }
    decideRequest(std::move(request), std::move(responder));
}

void EntryInstance::Impl::passOn(WebRequest request, const Address &holder, HttpResponderPointer responder)
{
    std::optional<ClientResult> result;
    const auto call = dependencies.protocol.readCall(request, desiredState.current(), result);
    const auto sent = std::make_shared<WebRequest>(std::move(request));
    newerStateForwarder.forward(*sent,
                                holder,
                                call.timeout,
                                [this, sent, holder, startedAt = loop.now(), responder = std::move(responder)](
                                    const std::optional<PassedRequestAnswer> &answer) {
                                    EventLog::writeRateLimited(
                                        "call.passed_on",
                                        { { "target", std::string_view(sent->target).substr(0, sent->target.find('?')) },
                                          { "to", holder.text() },
                                          { "version", desiredState.current().version },
                                          { "newest_known", leadership.newestKnownState() },
                                          { "outcome", answer ? static_cast<int>(answer->result.outcome) : -1 } });
                                    if (answer) {
                                        ClientCall decided;
                                        decided.kind = answer->kind;
                                        responder->reply(dependencies.protocol.writeResult(decided, answer->result));
                                        return;
                                    }
                                    decideRequest(std::move(*sent), responder);
                                });
}

void EntryInstance::Impl::servePassedRequest(const WebRequest &message, HttpResponderPointer responder)
{
    auto request = PassedRequestCodec::decode(message);
    if (!request || desiredState.current().version == 0) {
        responder->reply({ !request ? 400 : 503, {}, {} });
        return;
    }
    callReader.read(std::move(*request),
                    [this, responder = std::move(responder)](const ClientCall &call, const std::optional<ClientResult> &result) {
                        if (result) {
                            responder->reply(PassedRequestCodec::encodeAnswer({ call.kind, *result }));
                            return;
                        }
                        callForwarder.call(call, [this, call, responder](const ClientResult &answer) {
                            callReader.noteResult(call, answer);
                            responder->reply(PassedRequestCodec::encodeAnswer({ call.kind, answer }));
                        });
                    });
}

void EntryInstance::Impl::decideRequest(WebRequest request, HttpResponderPointer responder)
{
    callReader.read(std::move(request),
                    [this, responder = std::move(responder)](const ClientCall &call, const std::optional<ClientResult> &result) {
                        if (result) {
                            responder->reply(dependencies.protocol.writeResult(call, *result));
                        } else {
                            forwardCall(call, responder);
                        }
                    });
}

void EntryInstance::Impl::forwardCall(const ClientCall &call, const HttpResponderPointer &responder)
{
    auto answeredCall = call;
    // The answer doesn't depend on it.
    answeredCall.body = std::string();
    callForwarder.call(call, [this, call = std::move(answeredCall), responder](const ClientResult &result) {
        callReader.noteResult(call, result);
        if (result.outcome == ClientResult::Outcome::Refused || result.outcome == ClientResult::Outcome::Unknown) {
            EventLog::writeRateLimited("call.failed",
                                       { { "job", call.job },
                                         { "kind", static_cast<int>(call.kind) },
                                         { "outcome", static_cast<int>(result.outcome) },
                                         { "detail", result.detail } });
        }
        responder->reply(dependencies.protocol.writeResult(call, result));
    });
}

void EntryInstance::Impl::servePeer(WebRequest request, HttpResponderPointer responder)
{
    if (request.target.starts_with(PeerCodec::heartbeatPath)) {
        leadership.answerHeartbeat(request, std::move(responder));
    } else if (request.target == PeerCodec::successionPath) {
        const auto token = PeerCodec::readSuccessionRequest(request);
        responder->reply({ token ? 200 : 400, {}, {} });
        if (token) {
            leadership.succeed(*token);
        }
    } else if (request.target == PeerCodec::ownerViewPath) {
        leadership.answerOwnerView(std::move(responder));
    } else if (request.target == PeerCodec::desiredStatePath) {
        responder->reply({ 200, desiredState.copyFor(PeerCodec::readDesiredStateBase(request)), {} });
    } else if (request.target == PassedRequestCodec::path) {
        servePassedRequest(request, std::move(responder));
    } else if (request.target == PeerCodec::advicePath) {
        serveAdvice(request, std::move(responder));
    } else if (request.target == PeerCodec::relayPath) {
        workerRelay.serve(request.body, [responder = std::move(responder)](int status, std::string message) {
            responder->reply({ status, std::move(message), {} });
        });
    } else if (request.target == PeerCodec::callPath) {
        const auto call = PeerCodec::readCall(request);
        if (!owner || !owner->isReady() || !call) {
            const auto why = !owner              ? leadership.describeElection()
                             : !owner->isReady() ? owner->describeUnreadiness()
                                                 : std::string("it cannot read the call");
            responder->reply(PeerCodec::notOwnerReply(why));
            return;
        }
        owner->call(*call, [responder = std::move(responder)](const ClientResult &result) {
            responder->reply(PeerCodec::callReply(result));
        });
    } else {
        responder->reply({ 404, {}, {} });
    }
}

void EntryInstance::Impl::serveOperator(const WebRequest &request, HttpResponder &responder)
{
    if (request.method != "GET" || request.target != "/metrics") {
        responder.reply({ 404, {}, {} });
        return;
    }
    auto &metrics = dependencies.metrics;
    metrics.setGauge("owner", owner ? 1 : 0);
    metrics.setGauge("owner_known", isReady() ? 1 : 0);
    metrics.setGauge("owner_ready", owner && owner->isReady() ? 1 : 0);
    metrics.setGauge("fencing_token", owner ? static_cast<double>(owner->token()) : 0);
    metrics.setGauge("store_away_milliseconds", owner ? static_cast<double>(owner->storeStallDuration().count()) : 0);
    desiredStateExchange.updateMetrics(metrics);
    metrics.setGauge("client_connections", static_cast<double>(clientListener.openConnections()));
    const auto load = clientListener.load();
    metrics.setGauge("client_requests_open", static_cast<double>(load.openRequests));
    metrics.setGauge("client_replies_unwritten", static_cast<double>(load.unwrittenReplies));
    metrics.setGauge("client_requests_partial", static_cast<double>(load.partialRequests));
    metrics.setGauge("client_requests_discarded", static_cast<double>(load.discardedRequests));
    metrics.setGauge("client_connections_idle", static_cast<double>(load.idleConnections));
    metrics.setGauge("client_oldest_request_milliseconds", static_cast<double>(load.oldestAge.count()));
    connectionBudget.updateMetrics(metrics);
    workerRelay.updateMetrics(metrics);
    relayPool.updateMetrics(metrics);
    metrics.setGauge("log_lines_dropped", static_cast<double>(EventLog::droppedCount()));
    if (owner) {
        owner->updateMetrics(metrics);
    }
    responder.reply({ 200, metrics.text(), { { "Content-Type", "text/plain; version=0.0.4" } } });
}

void EntryInstance::Impl::serveAdvice(const WebRequest &request, HttpResponderPointer responder)
{
    const auto adviceRequest = PeerCodec::readAdviceRequest(request);
    if (!adviceRequest || dependencies.advisor == nullptr) {
        responder->reply(PeerCodec::adviceReply({}));
        return;
    }
    dependencies.advisor->ask(*adviceRequest, [responder = std::move(responder)](const AdviceResult &result) {
        responder->reply(PeerCodec::adviceReply(result));
    });
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
