#pragma once

#include "core/Clock.h"

#include <memory>
#include <optional>
#include <string>

namespace auburndoor {

class Metrics;
class PeerHandler;
struct Failure;

/** How a PeerServer listens. */
struct PeerServerOptions
{
    std::string address = "127.0.0.1";
    /** 0 lets the system choose. */
    int port = 0;
    /** The shared secret of all peers; never logged. */
    std::string secret;
    std::size_t maxFrameBytes = 8 << 20;
    /** How long a frame may take from its first byte to its last, and a new connection to its first authenticated call. */
    Milliseconds readTimeout { 5000 };
    Milliseconds writeTimeout { 5000 };
    /** How long an unused connection of an authenticated peer is kept. */
    Milliseconds idleTimeout { 60'000 };
    /** Connections at the same time; further ones are closed at once. Each has a thread of its own. */
    std::size_t connectionLimit = 1024;
    /** Calls in flight at the same time, without heartbeats; further ones are refused as not done. */
    std::size_t callLimit = 512;
    /** How long calls that arrive during stop() are still answered, with a refusal, before the connections end. */
    Milliseconds drainTime { 100 };
};

/**
    Serves the calls of peers: Thrift's binary protocol in framed transport.

    Each connection has a thread of its own. Peers send heartbeats on connections of their own, so that a long call delays no
    heartbeat; heartbeats do not count towards the limit on calls. What is not a call with the shared secret is refused and counted
    ("peer_refused_total" by reason).
*/
class PeerServer
{
public:
    PeerServer(const PeerServerOptions &options, PeerHandler &handler, Clock &clock, Metrics &metrics);

    /** Stops the server if it still runs. */
    ~PeerServer();

    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    /** Binds and listens. @return the port, or empty with the reason */
    std::optional<int> bind(Failure &failure);

    /** Serves on threads of its own until stop(). Call bind() first. */
    void start();

    /** Refuses new calls, finishes those in flight, then ends all connections and joins all threads. */
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace auburndoor
