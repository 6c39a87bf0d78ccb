#include "peer/ThriftPeer.h"

#include "observability/Metrics.h"
#include "observability/Traffic.h"
#include "peer/ConnectionPool.h"
#include "peer/MemberCodec.h"
#include "peer/WireConversion.h"

#include "PeerService.h"

#include <thrift/TApplicationException.h>

#include <algorithm>

namespace auburndoor {

namespace {

/** How far a call and its answer got. */
enum class ExchangeStatus {
    Answered,
    /** The peer has not executed the call and will not: the message was not sent completely, or the peer refused it. */
    NotExecuted,
    /** The peer may have executed the call; no usable answer arrived. */
    MaybeExecuted,
};

using Client = wire::PeerServiceClient;

/** Encodes a call. @param writeCall calls the client's send function */
std::string encodeCall(const std::function<void(Client &)> &writeCall)
{
    const WireBuffer buffer;
    Client client(buffer.protocol, buffer.protocol);
    writeCall(client);
    return buffer.transport->getBufferAsString();
}

/** Decodes an answer. @param readAnswer calls the client's recv function */
ExchangeStatus decodeAnswer(std::string &bytes, const std::function<void(Client &)> &readAnswer, Failure &failure)
{
    using apache::thrift::TApplicationException;
    try {
        const WireBuffer buffer(bytes);
        Client client(buffer.protocol, buffer.protocol);
        readAnswer(client);
        return ExchangeStatus::Answered;
    } catch (const wire::Refusal &refusal) {
        failure = { parseFailureStep(refusal.step), failure.peer, parseFailureReason(refusal.reason), refusal.message };
        return ExchangeStatus::NotExecuted;
    } catch (const TApplicationException &exception) {
        failure.reason = FailureReason::BadReply;
        failure.message = exception.what();
        // A peer that does not know the call has executed nothing. Any other error may have occurred after the call took effect.
        return exception.getType() == TApplicationException::UNKNOWN_METHOD ? ExchangeStatus::NotExecuted
                                                                            : ExchangeStatus::MaybeExecuted;
    } catch (const std::exception &exception) {
        failure.reason = FailureReason::BadReply;
        failure.message = exception.what();
        return ExchangeStatus::MaybeExecuted;
    }
}

} // namespace

class ThriftPeer::Implementation
{
public:
    Implementation(const ThriftPeerOptions &options, Clock &clock, Metrics &metrics)
        : options_(options)
        , clock_(clock)
        , metrics_(metrics)
        , connectionPool_(options.address, options.connectionLimit, options.idleTimeout, options.connectTimeout)
    {
        header_.secret = options.secret;
    }

    /** Sends one call on a connection of the pool and reads its answer. Fills the failure unless the call was answered. */
    ExchangeStatus call(FailureStep step,
                        Milliseconds timeout,
                        Failure &failure,
                        const std::function<void(Client &)> &writeCall,
                        const std::function<void(Client &)> &readAnswer)
    {
        failure.step = step;
        failure.peer = options_.peer.text();
        const auto deadline = std::chrono::steady_clock::now() + timeout;
        const auto message = encodeCall(writeCall);
        const auto exchangeStatus = isWithinFrameLimit(message, failure) ? exchange(message, deadline, failure, readAnswer)
                                                                         : ExchangeStatus::NotExecuted;
        if (exchangeStatus != ExchangeStatus::Answered) {
            metrics_.count("peer_call_failures_total", name(failure.reason));
        }
        return exchangeStatus;
    }

    std::optional<Member> heartbeat(const Member &self, Milliseconds timeout, Failure &failure)
    {
        failure.step = FailureStep::Heartbeat;
        failure.peer = options_.peer.text();
        const auto deadline = std::chrono::steady_clock::now() + timeout;
        const std::lock_guard lock(heartbeatMutex_);
        if (!heartbeatConnection_ || heartbeatConnection_->socket.isStale()) {
            heartbeatConnection_.reset();
            auto socket = FramedSocket::connect(options_.address, timeout, failure);
            if (!socket) {
                return std::nullopt;
            }
            heartbeatConnection_.emplace(HeartbeatConnection { std::move(*socket), {}, {} });
        }
        auto answer = exchangeHeartbeat(self, deadline, failure);
        if (!answer) {
            // The encoder and decoder at both ends depend on the previous messages; a new connection starts all of them anew.
            heartbeatConnection_.reset();
        }
        return answer;
    }

    const wire::CallHeader &header() const
    {
        return header_;
    }

    Clock &clock() const
    {
        return clock_;
    }

private:
    /** The connection for heartbeats, with the codecs that remember the previous messages on it. */
    struct HeartbeatConnection
    {
        FramedSocket socket;
        MemberEncoder encoder;
        MemberDecoder decoder;
    };

    /** Adds the bytes of a frame, with its length field, to a metric. */
    void countFrameBytes(std::string_view metric, std::string_view direction, const std::string &payload)
    {
        metrics_.count(metric, direction, static_cast<long long>(computeFrameSize(payload)));
    }

    static Milliseconds remainingTime(TimePoint deadline)
    {
        return std::max(Milliseconds(0), std::chrono::ceil<Milliseconds>(deadline - std::chrono::steady_clock::now()));
    }

    bool isWithinFrameLimit(const std::string &message, Failure &failure) const
    {
        if (message.size() <= options_.maxFrameBytes) {
            return true;
        }
        failure.reason = FailureReason::TooLarge;
        failure.message = "a message of " + std::to_string(message.size()) + " bytes exceeds the limit of "
                          + std::to_string(options_.maxFrameBytes);
        return false;
    }

    ExchangeStatus exchange(const std::string &message,
                            TimePoint deadline,
                            Failure &failure,
                            const std::function<void(Client &)> &readAnswer)
    {
        auto socket = connectionPool_.acquire(remainingTime(deadline), failure);
        if (!socket) {
            return ExchangeStatus::NotExecuted;
        }
        if (!socket->send(message, remainingTime(deadline), failure)) {
            connectionPool_.discard();
            return ExchangeStatus::NotExecuted;
        }
        auto bytes = socket->receive(options_.maxFrameBytes, remainingTime(deadline), failure);
        if (!bytes) {
            // The socket is closed when this function returns, so that a late answer is never read as the answer to the next call.
            connectionPool_.discard();
            return ExchangeStatus::MaybeExecuted;
        }
        countFrameBytes("peer_call_bytes_total", "sent", message);
        countFrameBytes("peer_call_bytes_total", "received", *bytes);
        countTraffic(metrics_, "peer/" + readCallName(message), computeFrameSize(message) + computeFrameSize(*bytes));
        const auto exchangeStatus = decodeAnswer(*bytes, readAnswer, failure);
        // A peer that shuts down closes its connections; a call that it does not read has an unknown outcome.
        const bool isReusable = exchangeStatus != ExchangeStatus::MaybeExecuted && failure.reason != FailureReason::ShuttingDown;
        isReusable ? connectionPool_.release(std::move(*socket)) : connectionPool_.discard();
        return exchangeStatus;
    }

    std::optional<Member> exchangeHeartbeat(const Member &self, TimePoint deadline, Failure &failure)
    {
        const auto state = heartbeatConnection_->encoder.encode(self);
        const auto message = encodeCall([&](Client &client) { client.send_heartbeat(header_, state); });
        if (!heartbeatConnection_->socket.send(message, remainingTime(deadline), failure)) {
            return std::nullopt;
        }
        auto bytes = heartbeatConnection_->socket.receive(options_.maxFrameBytes, remainingTime(deadline), failure);
        if (!bytes) {
            return std::nullopt;
        }
        countFrameBytes("heartbeat_bytes_total", "sent", message);
        countFrameBytes("heartbeat_bytes_total", "received", *bytes);
        countTraffic(metrics_, "peer/heartbeat", computeFrameSize(message) + computeFrameSize(*bytes));
        wire::MemberState answer;
        const auto readAnswer = [&](Client &client) { client.recv_heartbeat(answer); };
        if (decodeAnswer(*bytes, readAnswer, failure) != ExchangeStatus::Answered) {
            return std::nullopt;
        }
        auto member = heartbeatConnection_->decoder.decode(answer);
        if (!member) {
            failure.reason = FailureReason::BadReply;
            failure.message = "the answer to the heartbeat lacks fields or is malformed";
        }
        return member;
    }

    const ThriftPeerOptions options_;
    Clock &clock_;
    Metrics &metrics_;
    wire::CallHeader header_;
    ConnectionPool connectionPool_;
    std::mutex heartbeatMutex_;
    std::optional<HeartbeatConnection> heartbeatConnection_;
};

ThriftPeer::ThriftPeer(const ThriftPeerOptions &options, Clock &clock, Metrics &metrics)
    : implementation_(std::make_unique<Implementation>(options, clock, metrics))
{
}

ThriftPeer::~ThriftPeer() = default;

std::optional<Member> ThriftPeer::heartbeat(const Member &self, Milliseconds timeout, Failure &failure)
{
    return implementation_->heartbeat(self, timeout, failure);
}

Outcome ThriftPeer::execute(const Request &request, Milliseconds timeout)
{
    Outcome outcome;
    Failure failure;
    const auto wireRequest = toWire(request, implementation_->clock().now());
    const auto exchangeStatus = implementation_->call(
        FailureStep::Forward,
        timeout,
        failure,
        [&](Client &client) { client.send_execute(implementation_->header(), wireRequest); },
        [&](Client &client) {
            wire::ForwardedOutcome answer;
            client.recv_execute(answer);
            outcome = fromWire(answer);
        });
    if (exchangeStatus != ExchangeStatus::Answered) {
        outcome = Outcome();
        outcome.status = exchangeStatus == ExchangeStatus::NotExecuted ? OutcomeStatus::NotRun : OutcomeStatus::Unknown;
        outcome.failure = failure;
    }
    return outcome;
}

std::optional<long long> ThriftPeer::announce(const ConfigurationAnnouncement &announcement, Milliseconds timeout, Failure &failure)
{
    long long version = 0;
    const auto exchangeStatus = implementation_->call(
        FailureStep::Apply,
        timeout,
        failure,
        [&](Client &client) { client.send_announce(implementation_->header(), toWire(announcement)); },
        [&](Client &client) { version = client.recv_announce(); });
    return exchangeStatus == ExchangeStatus::Answered ? std::optional(version) : std::nullopt;
}

std::optional<ConfigurationAnnouncement> ThriftPeer::fetchConfiguration(Milliseconds timeout, Failure &failure)
{
    wire::Announcement answer;
    const auto exchangeStatus = implementation_->call(
        FailureStep::Apply,
        timeout,
        failure,
        [&](Client &client) { client.send_fetchConfiguration(implementation_->header()); },
        [&](Client &client) { client.recv_fetchConfiguration(answer); });
    return exchangeStatus == ExchangeStatus::Answered ? std::optional(fromWire(answer)) : std::nullopt;
}

std::optional<std::vector<Hold>> ThriftPeer::hold(const HoldRequest &request, Milliseconds timeout, Failure &failure)
{
    std::vector<Hold> holds;
    const auto exchangeStatus = implementation_->call(
        FailureStep::Reserve,
        timeout,
        failure,
        [&](Client &client) { client.send_hold(implementation_->header(), toWire(request)); },
        [&](Client &client) {
            std::vector<wire::HeldPlace> places;
            client.recv_hold(places);
            std::transform(
                places.begin(), places.end(), std::back_inserter(holds), [](const auto &place) { return fromWire(place); });
        });
    return exchangeStatus == ExchangeStatus::Answered ? std::optional(holds) : std::nullopt;
}

bool ThriftPeer::release(const std::vector<Hold> &holds, Milliseconds timeout, Failure &failure)
{
    std::vector<wire::HeldPlace> places;
    std::transform(holds.begin(), holds.end(), std::back_inserter(places), [](const auto &hold) { return toWire(hold); });
    const auto exchangeStatus = implementation_->call(
        FailureStep::Reserve,
        timeout,
        failure,
        [&](Client &client) { client.send_release(implementation_->header(), places); },
        [](Client &client) { client.recv_release(); });
    return exchangeStatus == ExchangeStatus::Answered;
}

CallResult ThriftPeer::startHeld(const Hold &hold, const TaskStart &start, Milliseconds timeout, Failure &failure)
{
    wire::StartResult answer;
    CallResult result;
    const auto order = toWire(start, implementation_->clock().wallNow());
    const auto exchangeStatus = implementation_->call(
        FailureStep::Start,
        timeout,
        failure,
        [&](Client &client) { client.send_startHeld(implementation_->header(), toWire(hold), order); },
        [&](Client &client) {
            client.recv_startHeld(answer);
            result = fromWire(answer);
        });
    if (exchangeStatus != ExchangeStatus::Answered) {
        return { exchangeStatus == ExchangeStatus::NotExecuted ? CallStatus::NotRun : CallStatus::Unknown, {} };
    }
    if (result.status == CallStatus::NotRun || result.status == CallStatus::Unknown) {
        failure = fromWire(answer.failure);
    }
    return result;
}

std::optional<TaskStatus> ThriftPeer::queryTask(const WorkerId &worker, const TaskId &task, Milliseconds timeout, Failure &failure)
{
    TaskStatus result;
    const auto exchangeStatus = implementation_->call(
        FailureStep::Collect,
        timeout,
        failure,
        [&](Client &client) { client.send_queryTask(implementation_->header(), worker.text(), task.text()); },
        [&](Client &client) {
            wire::TaskReport report;
            client.recv_queryTask(report);
            result = fromWire(report);
        });
    return exchangeStatus == ExchangeStatus::Answered ? std::optional(result) : std::nullopt;
}

std::optional<TaskStatus> ThriftPeer::cancelTask(const WorkerId &worker, const TaskId &task, Milliseconds timeout, Failure &failure)
{
    TaskStatus result;
    const auto exchangeStatus = implementation_->call(
        FailureStep::Cancel,
        timeout,
        failure,
        [&](Client &client) { client.send_cancelTask(implementation_->header(), worker.text(), task.text()); },
        [&](Client &client) {
            wire::TaskReport report;
            client.recv_cancelTask(report);
            result = fromWire(report);
        });
    return exchangeStatus == ExchangeStatus::Answered ? std::optional(result) : std::nullopt;
}

bool ThriftPeer::notifyJob(const ShardId &shard, const JobId &job, Milliseconds timeout, Failure &failure)
{
    const auto exchangeStatus = implementation_->call(
        FailureStep::Forward,
        timeout,
        failure,
        [&](Client &client) { client.send_notifyJob(implementation_->header(), shard.text(), job.text()); },
        [](Client &client) { client.recv_notifyJob(); });
    return exchangeStatus == ExchangeStatus::Answered;
}

std::optional<std::vector<TaskId>> ThriftPeer::runningTasks(const JobId &job, Milliseconds timeout, Failure &failure)
{
    std::vector<TaskId> tasks;
    const auto exchangeStatus = implementation_->call(
        FailureStep::Collect,
        timeout,
        failure,
        [&](Client &client) { client.send_runningTasks(implementation_->header(), job.text()); },
        [&](Client &client) {
            std::vector<std::string> answer;
            client.recv_runningTasks(answer);
            for (const auto &task : answer) {
                tasks.emplace_back(job.text() + "/" + task);
            }
        });
    return exchangeStatus == ExchangeStatus::Answered ? std::optional(tasks) : std::nullopt;
}

} // namespace auburndoor
