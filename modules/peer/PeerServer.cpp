#include "peer/PeerServer.h"

#include "core/Failure.h"
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

// How often the listening thread looks for ended connections and for the end.
constexpr Milliseconds housekeepingPeriod { 100 };

/** One accepted connection. The descriptor is closed only after the thread has been joined. */
struct Connection
{
    explicit Connection(int descriptor) : socket(descriptor)
    {
    }

    FramedSocket socket;
    std::thread thread;
    std::atomic<bool> isEnded { false };
};

} // namespace

class PeerServer::Implementation
{
public:
    Implementation(const PeerServerOptions &options, PeerHandler &handler, Clock &clock, Metrics &metrics)
        : options_(options), metrics_(metrics), context_ { handler, clock, metrics, options.secret, CallGate(options.callLimit) }
    {
        // The library writes its complaints about messages to the standard error stream; they are counted here instead.
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
        thread_ = std::thread([this] { listen(); });
    }

    void stop()
    {
        context_.gate.close();
        if (thread_.joinable()) {
            // Calls that were sent before their callers knew of the stop get a definite refusal instead of a lost connection.
            std::this_thread::sleep_for(options_.drainTime);
            isStopping_ = true;
            thread_.join();
        }
        for (const auto &connection : connections_) {
            connection.socket.shutdownReading();
        }
        for (auto &connection : connections_) {
            connection.thread.join();
        }
        connections_.clear();
        if (listener_ >= 0) {
            ::close(std::exchange(listener_, -1));
        }
    }

private:
    void listen()
    {
        while (!isStopping_) {
            pollfd item { listener_, POLLIN, 0 };
            if (::poll(&item, 1, static_cast<int>(housekeepingPeriod.count())) > 0) {
                accept();
            }
            removeEnded();
        }
    }

    void accept()
    {
        const int descriptor = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
        if (descriptor < 0) {
            // Without a free descriptor the connection stays readable in the backlog; the pause keeps this loop from spinning.
            if (errno != EAGAIN && errno != ECONNABORTED) {
                metrics_.count("peer_refused_total", "accept-failed");
                ::poll(nullptr, 0, static_cast<int>(housekeepingPeriod.count()));
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
                serve(connection.socket);
                connection.socket.shutdown();
                connection.isEnded = true;
            });
        } catch (const std::system_error &exception) {
            Log::warning("peer-connection-without-thread", { { "error", exception.what() } });
            metrics_.count("peer_refused_total", "no-thread");
            connections_.pop_back();
        }
    }

    void removeEnded()
    {
        connections_.remove_if([](Connection &connection) {
            if (!connection.isEnded) {
                return false;
            }
            connection.thread.join();
            return true;
        });
    }

    void serve(FramedSocket &socket)
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
                // A peer that closes an idle connection is the normal case.
                if (failure.reason != FailureReason::ConnectionLost) {
                    metrics_.count("peer_refused_total", name(failure.reason));
                }
                return;
            }
            const auto reply = answer(socket, processor, *message);
            session->leave();
            if (reply && session->isAuthenticated()) {
                countTraffic(metrics_, "peer-served/" + callName(*message), sizeOfFrame(*message) + sizeOfFrame(*reply));
            }
            if (!reply) {
                return;
            }
        }
    }

    /** Processes one message and sends the answer. @return the answer, or empty if the connection must end */
    std::optional<std::string> answer(FramedSocket &socket, wire::PeerServiceProcessor &processor, std::string &message)
    {
        const WireBuffer input(message);
        const WireBuffer output;
        bool isWhole = false;
        try {
            isWhole = processor.process(input.protocol, output.protocol, nullptr);
        } catch (const std::exception &exception) {
            Log::debug("peer-message-malformed", { { "error", exception.what() } });
        }
        auto reply = output.transport->getBufferAsString();
        if (!isWhole || reply.empty()) {
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
    /** Used by the listening thread; by stop() once that has ended. */
    std::list<Connection> connections_;
    std::thread thread_;
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
