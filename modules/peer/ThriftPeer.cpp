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

/** How far an exchange got. */
enum class Delivery {
    Answered,
    /** The peer has not acted on the message and will not: it was not sent whole, or the peer refused it. */
    NotDone,
    /** The peer may have acted on the message. */
    Lost,
};

using Client = wire::PeerServiceClient;

std::string encode(const std::function<void(Client &)> &send)
{
    const WireBuffer buffer;
    Client client(buffer.protocol, buffer.protocol);
    send(client);
    return buffer.transport->getBufferAsString();
}

/** Reads an answer. @param receive calls the client's recv function */
Delivery decode(std::string &bytes, const std::function<void(Client &)> &receive, Failure &failure)
{
    using apache::thrift::TApplicationException;
    try {
        const WireBuffer buffer(bytes);
        Client client(buffer.protocol, buffer.protocol);
        receive(client);
        return Delivery::Answered;
    } catch (const wire::Refusal &refusal) {
        failure = { stepOf(refusal.step), failure.peer, reasonOf(refusal.reason), refusal.message };
        return Delivery::NotDone;
    } catch (const TApplicationException &exception) {
        failure.reason = FailureReason::BadReply;
        failure.message = exception.what();
        // A peer that does not know the call has done nothing; any other error may have come after its effect.
        return exception.getType() == TApplicationException::UNKNOWN_METHOD ? Delivery::NotDone : Delivery::Lost;
    } catch (const std::exception &exception) {
        failure.reason = FailureReason::BadReply;
        failure.message = exception.what();
        return Delivery::Lost;
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
        , pool_(options.address, options.connectionLimit, options.idleTime, options.connectTimeout)
    {
        header_.secret = options.secret;
    }

    /** One exchange on a connection of the pool. */
    Delivery call(FailureStep step,
                  Milliseconds timeout,
                  Failure &failure,
                  const std::function<void(Client &)> &send,
                  const std::function<void(Client &)> &receive)
    {
        failure.step = step;
        failure.peer = options_.peer.text();
        const auto deadline = std::chrono::steady_clock::now() + timeout;
        const auto message = encode(send);
        const auto delivery = isSmallEnough(message, failure) ? exchange(message, deadline, failure, receive) : Delivery::NotDone;
        if (delivery != Delivery::Answered) {
            metrics_.count("peer_call_failures_total", name(failure.reason));
        }
        return delivery;
    }

    std::optional<Member> heartbeat(const Member &self, Milliseconds timeout, Failure &failure)
    {
        failure.step = FailureStep::Heartbeat;
        failure.peer = options_.peer.text();
        const auto deadline = std::chrono::steady_clock::now() + timeout;
        const std::lock_guard lock(heartbeatMutex_);
        if (!heartbeat_ || heartbeat_->socket.isStale()) {
            heartbeat_.reset();
            auto socket = FramedSocket::connect(options_.address, timeout, failure);
            if (!socket) {
                return std::nullopt;
            }
            heartbeat_.emplace(HeartbeatConnection { std::move(*socket), {}, {} });
        }
        auto answer = exchangeHeartbeat(self, deadline, failure);
        if (!answer) {
            // The codecs at both ends must start anew together.
            heartbeat_.reset();
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
    struct HeartbeatConnection
    {
        FramedSocket socket;
        MemberEncoder encoder;
        MemberDecoder decoder;
    };

    /** Counts the bytes of a frame, with its length. */
    void countBytes(std::string_view metric, std::string_view direction, const std::string &payload)
    {
        metrics_.count(metric, direction, static_cast<long long>(sizeOfFrame(payload)));
    }

    static Milliseconds remaining(TimePoint deadline)
    {
        return std::max(Milliseconds(0), std::chrono::ceil<Milliseconds>(deadline - std::chrono::steady_clock::now()));
    }

    bool isSmallEnough(const std::string &message, Failure &failure) const
    {
        if (message.size() <= options_.maxFrameBytes) {
            return true;
        }
        failure.reason = FailureReason::TooLarge;
        failure.message = "a message of " + std::to_string(message.size()) + " bytes exceeds "
                          + std::to_string(options_.maxFrameBytes);
        return false;
    }

    Delivery exchange(const std::string &message,
                      TimePoint deadline,
                      Failure &failure,
                      const std::function<void(Client &)> &receive)
    {
        auto socket = pool_.acquire(remaining(deadline), failure);
        if (!socket) {
            return Delivery::NotDone;
        }
        if (!socket->send(message, remaining(deadline), failure)) {
            pool_.discard();
            return Delivery::NotDone;
        }
        auto bytes = socket->receive(options_.maxFrameBytes, remaining(deadline), failure);
        if (!bytes) {
            // The connection is closed with the socket, so that a late answer is never taken for that of the next call.
            pool_.discard();
            return Delivery::Lost;
        }
        countBytes("peer_call_bytes_total", "sent", message);
        countBytes("peer_call_bytes_total", "received", *bytes);
        countTraffic(metrics_, "peer/" + callName(message), sizeOfFrame(message) + sizeOfFrame(*bytes));
        const auto delivery = decode(*bytes, receive, failure);
        if (delivery == Delivery::Lost) {
            pool_.discard();
        } else {
            pool_.release(std::move(*socket));
        }
        return delivery;
    }

    std::optional<Member> exchangeHeartbeat(const Member &self, TimePoint deadline, Failure &failure)
    {
        const auto state = heartbeat_->encoder.encode(self);
        const auto message = encode([&](Client &client) { client.send_heartbeat(header_, state); });
        if (!heartbeat_->socket.send(message, remaining(deadline), failure)) {
            return std::nullopt;
        }
        auto bytes = heartbeat_->socket.receive(options_.maxFrameBytes, remaining(deadline), failure);
        if (!bytes) {
            return std::nullopt;
        }
        countBytes("heartbeat_bytes_total", "sent", message);
        countBytes("heartbeat_bytes_total", "received", *bytes);
        countTraffic(metrics_, "peer/heartbeat", sizeOfFrame(message) + sizeOfFrame(*bytes));
        wire::MemberState answer;
        const auto receive = [&](Client &client) { client.recv_heartbeat(answer); };
        if (decode(*bytes, receive, failure) != Delivery::Answered) {
            return std::nullopt;
        }
        auto member = heartbeat_->decoder.decode(answer);
        if (!member) {
            failure.reason = FailureReason::BadReply;
            failure.message = "the answer to a heartbeat is incomplete";
        }
        return member;
    }

    const ThriftPeerOptions options_;
    Clock &clock_;
    Metrics &metrics_;
    wire::CallHeader header_;
    ConnectionPool pool_;
    std::mutex heartbeatMutex_;
    std::optional<HeartbeatConnection> heartbeat_;
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
    const auto delivery = implementation_->call(
        FailureStep::Forward,
        timeout,
        failure,
        [&](Client &client) { client.send_execute(implementation_->header(), wireRequest); },
        [&](Client &client) {
            wire::ForwardedOutcome answer;
            client.recv_execute(answer);
            outcome = fromWire(answer);
        });
    if (delivery != Delivery::Answered) {
        outcome = Outcome();
        outcome.status = delivery == Delivery::NotDone ? OutcomeStatus::NotRun : OutcomeStatus::Unknown;
        outcome.failure = failure;
    }
    return outcome;
}

std::optional<long long> ThriftPeer::announce(const ConfigurationAnnouncement &announcement, Milliseconds timeout, Failure &failure)
{
    long long version = 0;
    const auto delivery = implementation_->call(
        FailureStep::Apply,
        timeout,
        failure,
        [&](Client &client) { client.send_announce(implementation_->header(), toWire(announcement)); },
        [&](Client &client) { version = client.recv_announce(); });
    return delivery == Delivery::Answered ? std::optional(version) : std::nullopt;
}

std::optional<ConfigurationAnnouncement> ThriftPeer::fetchConfiguration(Milliseconds timeout, Failure &failure)
{
    wire::Announcement answer;
    const auto delivery = implementation_->call(
        FailureStep::Apply,
        timeout,
        failure,
        [&](Client &client) { client.send_fetchConfiguration(implementation_->header()); },
        [&](Client &client) { client.recv_fetchConfiguration(answer); });
    return delivery == Delivery::Answered ? std::optional(fromWire(answer)) : std::nullopt;
}

std::optional<std::vector<Hold>> ThriftPeer::hold(const HoldRequest &request, Milliseconds timeout, Failure &failure)
{
    std::vector<Hold> holds;
    const auto delivery = implementation_->call(
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
    return delivery == Delivery::Answered ? std::optional(holds) : std::nullopt;
}

bool ThriftPeer::release(const std::vector<Hold> &holds, Milliseconds timeout, Failure &failure)
{
    std::vector<wire::HeldPlace> places;
    std::transform(holds.begin(), holds.end(), std::back_inserter(places), [](const auto &hold) { return toWire(hold); });
    const auto delivery = implementation_->call(
        FailureStep::Reserve,
        timeout,
        failure,
        [&](Client &client) { client.send_release(implementation_->header(), places); },
        [](Client &client) { client.recv_release(); });
    return delivery == Delivery::Answered;
}

CallResult ThriftPeer::startHeld(const Hold &hold, const TaskStart &start, Milliseconds timeout, Failure &failure)
{
    wire::StartResult answer;
    CallResult result;
    const auto order = toWire(start, implementation_->clock().wallNow());
    const auto delivery = implementation_->call(
        FailureStep::Start,
        timeout,
        failure,
        [&](Client &client) { client.send_startHeld(implementation_->header(), toWire(hold), order); },
        [&](Client &client) {
            client.recv_startHeld(answer);
            result = fromWire(answer);
        });
    if (delivery != Delivery::Answered) {
        return { delivery == Delivery::NotDone ? CallStatus::NotRun : CallStatus::Unknown, {} };
    }
    if (result.status == CallStatus::NotRun || result.status == CallStatus::Unknown) {
        failure = fromWire(answer.failure);
    }
    return result;
}

std::optional<TaskStatus> ThriftPeer::queryTask(const WorkerId &worker, const TaskId &task, Milliseconds timeout, Failure &failure)
{
    TaskStatus result;
    const auto delivery = implementation_->call(
        FailureStep::Collect,
        timeout,
        failure,
        [&](Client &client) { client.send_queryTask(implementation_->header(), worker.text(), task.text()); },
        [&](Client &client) {
            wire::TaskReport report;
            client.recv_queryTask(report);
            result = fromWire(report);
        });
    return delivery == Delivery::Answered ? std::optional(result) : std::nullopt;
}

std::optional<TaskStatus> ThriftPeer::cancelTask(const WorkerId &worker, const TaskId &task, Milliseconds timeout, Failure &failure)
{
    TaskStatus result;
    const auto delivery = implementation_->call(
        FailureStep::Cancel,
        timeout,
        failure,
        [&](Client &client) { client.send_cancelTask(implementation_->header(), worker.text(), task.text()); },
        [&](Client &client) {
            wire::TaskReport report;
            client.recv_cancelTask(report);
            result = fromWire(report);
        });
    return delivery == Delivery::Answered ? std::optional(result) : std::nullopt;
}

bool ThriftPeer::notifyJob(const ShardId &shard, const JobId &job, Milliseconds timeout, Failure &failure)
{
    const auto delivery = implementation_->call(
        FailureStep::Forward,
        timeout,
        failure,
        [&](Client &client) { client.send_notifyJob(implementation_->header(), shard.text(), job.text()); },
        [](Client &client) { client.recv_notifyJob(); });
    return delivery == Delivery::Answered;
}

std::optional<std::vector<TaskId>> ThriftPeer::runningTasks(const JobId &job, Milliseconds timeout, Failure &failure)
{
    std::vector<TaskId> tasks;
    const auto delivery = implementation_->call(
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
    return delivery == Delivery::Answered ? std::optional(tasks) : std::nullopt;
}

} // namespace auburndoor
