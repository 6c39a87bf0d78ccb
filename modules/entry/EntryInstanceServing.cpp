#include "entry/EntryInstanceImpl.h"
#include "entry/PeerCodec.h"
#include "net/EventLoop.h"
#include "observability/EventLog.h"
#include "observability/Metrics.h"

namespace auburndoor {

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

} // namespace auburndoor
