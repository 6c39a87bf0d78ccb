#include "peer/PeerServer.h"

#include "core/Failure.h"
#include "core/ListenerFilter.h"
#include "observability/Log.h"
#include "observability/Metrics.h"
#include "observability/Traffic.h"
#include "peer/FramedSocket.h"
#include "peer/PeerSession.h"
#include "peer/WireConversion.h"

#include <thrift/TOutput.h>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <list>
#include <system_error>
#include <thread>

namespace auburndoor {

namespace {

// How often the listener thread removes ended connections and checks whether the server is stopping.
constexpr Milliseconds listenerPollPeriod { 100 };
// The backlog counts as empty after this time without a connection in it; longer than the round trip between failure domains, 8 ms.
constexpr Milliseconds backlogQuietTime { 20 };

/** One accepted connection. Its socket is closed only after its thread has been joined. */
struct Connection
{
    explicit Connection(int descriptor) : socket(descriptor)
    {
    }

    FramedSocket socket;
    std::thread thread;
    /** Set by the thread as its last action. */
    std::atomic<bool> hasEnded { false };
};

} // namespace

class PeerServer::Implementation
{
public:
    Implementation(const PeerServerOptions &options, PeerHandler &handler, Clock &clock, Metrics &metrics)
        : options_(options), metrics_(metrics), context_ { handler, clock, metrics, options.secret, CallLimiter(options.callLimit) }
    {
        // Thrift writes errors about messages to the standard error stream. They are discarded, because this server counts them.
        apache::thrift::GlobalOutput.setOutputFunction([](const char *) {});
    }

    std::optional<int> bind(Failure &failure)
    {
        auto port = options_.port;
        listener_ = FramedSocket::listen(options_.address, port, failure);
        return listener_ < 0 ? std::nullopt : std::optional(port);
    }

    void start()
    {
        listenerThread_ = std::thread([this] { acceptConnections(); });
    }

    void stop()
    {
        context_.callLimiter.close();
        if (listenerThread_.joinable()) {
            isStopping_ = true;
            listenerThread_.join();
            // A call sent by a peer that does not know of the stop yet gets a definite refusal instead of a lost connection. The
            // peer then gives up the connection, and cannot open another one.
            std::this_thread::sleep_for(options_.drainTime);
        }
        for (const auto &connection : connections_) {
            connection.socket.shutdownReading();
        }
        for (auto &connection : connections_) {
            connection.thread.join();
        }
        connections_.clear();
        closeListener();
    }

private:
    void closeListener()
    {
        if (listener_ >= 0) {
            ::close(std::exchange(listener_, -1));
        }
    }

    void acceptConnections()
    {
        while (!isStopping_) {
            pollfd pollEntry { listener_, POLLIN, 0 };
            if (::poll(&pollEntry, 1, static_cast<int>(listenerPollPeriod.count())) > 0) {
                acceptConnection();
            }
            removeEndedConnections();
        }
        dropConnectionRequests(listener_);
        const auto deadline = std::chrono::steady_clock::now() + listenerPollPeriod;
        pollfd pollEntry { listener_, POLLIN, 0 };
        while (::poll(&pollEntry, 1, static_cast<int>(backlogQuietTime.count())) > 0
               && std::chrono::steady_clock::now() < deadline) {
            acceptConnection();
        }
        closeListener();
    }

    void acceptConnection()
    {
        const int descriptor = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
        if (descriptor < 0) {
            // Without a free descriptor the connection stays in the backlog and poll() returns at once: pause to avoid a busy loop.
            if (errno != EAGAIN && errno != ECONNABORTED) {
                metrics_.count("peer_refused_total", "accept-failed");
                ::poll(nullptr, 0, static_cast<int>(listenerPollPeriod.count()));
            }
            return;
        }
        if (connections_.size() >= options_.connectionLimit) {
            metrics_.count("peer_refused_total", "too-many-connections");
            ::close(descriptor);
            return;
        }
        auto &connection = connections_.emplace_back(descriptor);
        try {
            connection.thread = std::thread([this, &connection] {
                serveConnection(connection.socket);
                connection.socket.shutdown();
                connection.hasEnded = true;
            });
        } catch (const std::system_error &exception) {
            Log::warning("peer-connection-without-thread", { { "error", exception.what() } });
            metrics_.count("peer_refused_total", "no-thread");
            connections_.pop_back();
        }
    }

    void removeEndedConnections()
    {
        connections_.remove_if([](Connection &connection) {
            if (!connection.hasEnded) {
                return false;
            }
            connection.thread.join();
            return true;
        });
    }

    void serveConnection(FramedSocket &socket)
    {
        const auto session = std::make_shared<PeerSession>(context_);
        serveCalls(socket, session);
        if (!session->isAuthenticated()) {
            metrics_.count("peer_unauthenticated_connections_total");
        }
    }

    void serveCalls(FramedSocket &socket, const std::shared_ptr<PeerSession> &session)
    {
        wire::PeerServiceProcessor processor(session);
        while (socket.waitReadable(session->isAuthenticated() ? options_.idleTimeout : options_.readTimeout)) {
            Failure failure;
            auto message = socket.receive(options_.maxFrameBytes, options_.readTimeout, failure);
            if (!message) {
                // A lost connection is not counted, because peers regularly close idle connections.
                if (failure.reason != FailureReason::ConnectionLost) {
                    metrics_.count("peer_refused_total", name(failure.reason));
                }
                return;
            }
            const auto reply = answerMessage(socket, processor, *message);
            session->finishCall();
            if (reply && session->isAuthenticated()) {
                countTraffic(
                    metrics_, "peer-served/" + readCallName(*message), computeFrameSize(*message) + computeFrameSize(*reply));
            }
            if (!reply) {
                return;
            }
        }
    }

    /** Executes the call in a message and sends the answer. @return the answer, or empty if the connection must be closed */
    std::optional<std::string> answerMessage(FramedSocket &socket, wire::PeerServiceProcessor &processor, std::string &message)
    {
        const WireBuffer input(message);
        const WireBuffer output;
        bool isProcessed = false;
        try {
            isProcessed = processor.process(input.protocol, output.protocol, nullptr);
        } catch (const std::exception &exception) {
            Log::debug("peer-message-malformed", { { "error", exception.what() } });
        }
        auto reply = output.transport->getBufferAsString();
        if (!isProcessed || reply.empty()) {
            metrics_.count("peer_refused_total", name(FailureReason::MalformedInput));
            return std::nullopt;
        }
        Failure failure;
        if (!socket.send(reply, options_.writeTimeout, failure)) {
            metrics_.count("peer_answers_lost_total", name(failure.reason));
            return std::nullopt;
        }
        return reply;
    }

    const PeerServerOptions options_;
    Metrics &metrics_;
    SessionContext context_;
    int listener_ = -1;
    std::atomic<bool> isStopping_ { false };
    /** Used, like the listener, by the listener thread, and by stop() once that thread has ended. */
    std::list<Connection> connections_;
    std::thread listenerThread_;
};

PeerServer::PeerServer(const PeerServerOptions &options, PeerHandler &handler, Clock &clock, Metrics &metrics)
    : implementation_(std::make_unique<Implementation>(options, handler, clock, metrics))
{
}

PeerServer::~PeerServer()
{
    implementation_->stop();
}

std::optional<int> PeerServer::bind(Failure &failure)
{
    return implementation_->bind(failure);
}

void PeerServer::start()
{
    implementation_->start();
}

void PeerServer::stop()
{
    implementation_->stop();
}

} // namespace auburndoor
