#include "entry/EntryInstance.h"

#include "entry/AdvicePool.h"
#include "entry/Leadership.h"
#include "entry/Owner.h"
#include "entry/OwnerCallForwarder.h"
#include "entry/PeerCodec.h"
#include "entry/TableWatch.h"
#include "net/EventLoop.h"
#include "net/HttpListener.h"
#include "observability/EventLog.h"
#include "observability/Metrics.h"

namespace auburndoor {

namespace {

constexpr Milliseconds logFlushInterval { 100 };
// The desired state is to be in force about two seconds after it was written: a lost wait costs less than one.
constexpr WatchTimes operatorWatchTimes { Milliseconds(1000), Milliseconds(20), Milliseconds(150) };
// The balancer needs two failed probes, a second apart, before it sends no new connections.
constexpr Milliseconds balancerNotice { 2200 };
constexpr Milliseconds shutdownCheck { 50 };
// What is kept of the grace for the exit itself.
constexpr Milliseconds exitMargin { 700 };
// Before the exit all that is open gets its final answer, which needs a way to the client.
constexpr Milliseconds lastAnswers { 400 };
constexpr Milliseconds flushPatience { 600 };
constexpr Milliseconds desiredStateCheck { 300 };
constexpr Milliseconds desiredStateTimeout { 280 };

} // namespace

struct EntryInstance::Impl : std::enable_shared_from_this<EntryInstance::Impl>
{
    explicit Impl(const EntryDependencies &parts);

    void serveClient(WebRequest request, HttpResponderPointer responder);
    void servePeer(WebRequest request, HttpResponderPointer responder);
    void serveAdvice(const WebRequest &request, HttpResponderPointer responder);
    void takeOperatorRows(const std::vector<StoreRow> &rows);
    void onWon(const Ownership &ownership);
    std::optional<Pulse> ownPulse();
    bool isReady() const;
    void serveOperator(const WebRequest &request, HttpResponder &responder);
    void flushLog();
    void fetchDesiredState();
    void waitForRequests(TimePoint earliest, TimePoint latest, std::function<void()> done);

    EntryDependencies parts;
    EventLoop &loop;
    DesiredState queues;
    /** The row that queues was read from. */
    StoreRow desiredRow;
    std::unique_ptr<HttpChannels> desiredSource;
    std::unique_ptr<Owner> owner;
    AdvicePool advice;
    Leadership leadership;
    OwnerCallForwarder calls;
    TableWatch operatorWatch;
    HttpListener clients;
    HttpListener readiness;
    HttpListener peers;
    HttpListener operators;
    bool isStopping = false;
};

EntryInstance::Impl::Impl(const EntryDependencies &parts)
    : parts(parts)
    , loop(parts.loop)
    , advice(parts.loop, parts.advisor, parts.settings.peers, [this] { return leadership.members(); })
    , leadership(parts.loop,
                 parts.store,
                 parts.settings,
                 {},
                 { [this](const Ownership &ownership) { onWon(ownership); }, [this] { return ownPulse(); } })
    , calls(
          parts.loop,
          [this] { return owner.get(); },
          [this] { return leadership.ownerAddress(); })
    , operatorWatch(parts.loop,
                    parts.store,
                    parts.protocol.operatorTable(),
                    operatorWatchTimes,
                    [this](const auto &rows, bool) { takeOperatorRows(rows); })
    , clients(parts.loop,
              {},
              [this](WebRequest request, HttpResponderPointer responder) { serveClient(std::move(request), std::move(responder)); })
    , readiness(parts.loop,
                {},
                [this](const WebRequest &request, HttpResponderPointer responder) {
                    const bool isKnown = this->parts.protocol.isReadinessRequest(request);
                    responder->reply({ !isKnown ? 404 : isReady() ? 200 : 503, {}, {} });
                })
    , peers(parts.loop,
            {},
            [this](WebRequest request, HttpResponderPointer responder) { servePeer(std::move(request), std::move(responder)); })
    , operators(parts.loop, { .maxConnections = 32 }, [this](const WebRequest &request, const HttpResponderPointer &responder) {
        serveOperator(request, *responder);
    })
{
}

bool EntryInstance::Impl::isReady() const
{
    const bool hasOwner = (owner && owner->isReady()) || leadership.ownerAddress();
    return !isStopping && queues.version > 0 && hasOwner;
}

void EntryInstance::Impl::serveClient(WebRequest request, HttpResponderPointer responder)
{
    if (queues.version == 0) {
        const ClientResult result { .outcome = ClientResult::Outcome::Refused,
                                    .retryAfter = Milliseconds(500),
                                    .detail = "no desired state yet" };
        responder->reply(parts.protocol.writeResult({}, result));
        return;
    }
    std::optional<ClientResult> known;
    const auto call = parts.protocol.readCall(request, queues, known);
    if (known) {
        EventLog::writeRateLimited("call.rejected",
                                   { { "target", request.target }, { "detail", known->detail }, { "desired", queues.version } });
        responder->reply(parts.protocol.writeResult(call, *known));
        return;
    }
    calls.call(call, [this, call, responder = std::move(responder)](const ClientResult &result) {
        if (result.outcome == ClientResult::Outcome::Refused || result.outcome == ClientResult::Outcome::Unknown) {
            EventLog::writeRateLimited("call.failed",
                                       { { "job", call.job },
                                         { "kind", static_cast<int>(call.kind) },
                                         { "outcome", static_cast<int>(result.outcome) },
                                         { "detail", result.detail } });
        }
        responder->reply(parts.protocol.writeResult(call, result));
    });
}

void EntryInstance::Impl::servePeer(WebRequest request, HttpResponderPointer responder)
{
    if (request.target.starts_with(PeerCodec::pulsePath)) {
        leadership.answerPulse(request, std::move(responder));
    } else if (request.target == PeerCodec::sightingPath) {
        leadership.answerSighting(std::move(responder));
    } else if (request.target == PeerCodec::desiredStatePath) {
        responder->reply({ 200, desiredRow.value, {} });
    } else if (request.target == PeerCodec::advicePath) {
        serveAdvice(request, std::move(responder));
    } else if (request.target == PeerCodec::callPath) {
        const auto call = PeerCodec::readCall(request);
        if (!owner || !owner->isReady() || !call) {
            responder->reply({ PeerCodec::notOwnerStatus, {}, {} });
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
    auto &metrics = parts.metrics;
    metrics.setGauge("owner", owner ? 1 : 0);
    metrics.setGauge("owner_known", isReady() ? 1 : 0);
    metrics.setGauge("fencing_token", owner ? static_cast<double>(owner->token()) : 0);
    metrics.setGauge("store_away_milliseconds", owner ? static_cast<double>(owner->storeAway().count()) : 0);
    metrics.setGauge("desired_state_version", static_cast<double>(queues.version));
    metrics.setGauge("desired_state_age_milliseconds", static_cast<double>(operatorWatch.age().count()));
    metrics.setGauge("client_connections", static_cast<double>(clients.openConnections()));
    metrics.setGauge("client_requests_open", static_cast<double>(clients.openRequests()));
    metrics.setGauge("log_lines_dropped", static_cast<double>(EventLog::droppedCount()));
    if (owner) {
        owner->report(metrics);
    }
    responder.reply({ 200, metrics.text(), { { "Content-Type", "text/plain; version=0.0.4" } } });
}

void EntryInstance::Impl::serveAdvice(const WebRequest &request, HttpResponderPointer responder)
{
    const auto question = PeerCodec::readAdviceRequest(request);
    if (!question || parts.advisor == nullptr) {
        responder->reply(PeerCodec::adviceReply({}));
        return;
    }
    parts.advisor->ask(*question, [responder = std::move(responder)](const AdviceResult &result) {
        responder->reply(PeerCodec::adviceReply(result));
    });
}

void EntryInstance::Impl::takeOperatorRows(const std::vector<StoreRow> &rows)
{
    for (const auto &row : rows) {
        auto read = parts.protocol.readDesiredState(row);
        // A version is never taken back, whatever order the rows arrive in.
        if (!read || read->version <= queues.version) {
            continue;
        }
        queues = std::move(*read);
        desiredRow = row;
        EventLog::write("desired.taken", { { "version", queues.version }, { "queues", queues.queues.size() } });
        if (owner) {
            owner->setDesiredState(queues);
        }
    }
}

void EntryInstance::Impl::onWon(const Ownership &ownership)
{
    const OwnerDependencies ownerParts { loop, parts.store, parts.workers, advice, parts.protocol, parts.settings };
    owner = std::make_unique<Owner>(ownerParts, ownership, [this] {
        owner.reset();
        leadership.stepDown();
    });
    owner->setDesiredState(queues);
    owner->start();
}

std::optional<Pulse> EntryInstance::Impl::ownPulse()
{
    if (!owner) {
        return std::nullopt;
    }
    return Pulse { parts.settings.nodeName,       owner->token(),      owner->storeAway(), owner->isReady(), queues.version,
                   parts.settings.processorShare, leadership.members() };
}

void EntryInstance::Impl::flushLog()
{
    EventLog::flush();
    loop.after(logFlushInterval, [self = shared_from_this()] { self->flushLog(); });
}

void EntryInstance::Impl::fetchDesiredState()
{
    loop.after(desiredStateCheck, [self = shared_from_this()] { self->fetchDesiredState(); });
    const auto address = leadership.ownerAddress();
    if (!address || leadership.desiredVersionOfOwner() <= queues.version) {
        return;
    }
    // The store keeps this process waiting or turns it away: the owner has the newer version.
    desiredSource = std::make_unique<HttpChannels>(loop, *address, HttpChannelLimits { .maxConnections = 1 });
    WebRequest request { "GET", PeerCodec::desiredStatePath, {}, {}, true };
    desiredSource->send(std::move(request), desiredStateTimeout, [self = shared_from_this()](const SendResult &sent) {
        if (sent.hasStatus(200)) {
            self->takeOperatorRows({ { {}, self->parts.protocol.desiredStateKey(), sent.reply.body, 1, false } });
        }
    });
}

void EntryInstance::Impl::waitForRequests(TimePoint earliest, TimePoint latest, std::function<void()> done)
{
    const auto now = loop.now();
    const bool isIdle = clients.openRequests() == 0 && peers.openRequests() == 0;
    if (now >= latest || (now >= earliest && isIdle)) {
        EventLog::write("process.stopped", { { "open_requests", clients.openRequests() } });
        EventLog::flush();
        done();
        return;
    }
    loop.after(shutdownCheck, [self = shared_from_this(), earliest, latest, done = std::move(done)] {
        self->waitForRequests(earliest, latest, done);
    });
}

EntryInstance::EntryInstance(const EntryDependencies &parts) : impl_(std::make_shared<Impl>(parts))
{
}

EntryInstance::~EntryInstance() = default;

bool EntryInstance::start(std::string &error)
{
    const auto &settings = impl_->parts.settings;
    if (!impl_->clients.listen(settings.clients, error) || !impl_->readiness.listen(settings.readiness, error)
        || !impl_->peers.listen(settings.peers, error) || !impl_->operators.listen(settings.operators, error)) {
        return false;
    }
    impl_->operatorWatch.start();
    impl_->leadership.start();
    impl_->flushLog();
    impl_->fetchDesiredState();
    EventLog::write("process.started", { { "clients", settings.clients.text() }, { "domain", settings.failureDomain } });
    return true;
}

void EntryInstance::shutDown(std::function<void()> done)
{
    if (std::exchange(impl_->isStopping, true)) {
        return;
    }
    EventLog::write("process.stopping", { { "owner", impl_->owner != nullptr } });
    const auto now = impl_->loop.now();
    impl_->leadership.abstain();
    if (impl_->owner) {
        impl_->owner->flush(flushPatience, [impl = impl_](const Ownership &ownership) {
            if (!impl->owner) {
                return;
            }
            impl->leadership.release(ownership, [impl] { impl->owner.reset(); });
        });
    }
    const auto latest = now + impl_->parts.settings.shutdownGrace - exitMargin;
    impl_->loop.after(std::chrono::duration_cast<Milliseconds>(latest - lastAnswers - now),
                      [impl = impl_] { impl->calls.close(); });
    impl_->waitForRequests(std::min(now + balancerNotice, latest), latest, std::move(done));
}

} // namespace auburndoor
