#pragma once

#include "core/Clock.h"

#include <memory>
#include <optional>
#include <string>

namespace auburndoor {

class Metrics;
class PeerHandler;
struct Failure;

/** Address, limits and timeouts of a PeerServer. */
struct PeerServerOptions
{
    std::string address = "127.0.0.1";
    /** 0 lets the system choose. */
    int port = 0;
    /** The shared secret of all peers; never logged. */
    std::string secret;
    std::size_t maxFrameBytes = 8 << 20;
    /** How long a frame may take from its first byte to its last, and how long the server waits for each frame of a connection on
        which no authenticated call has arrived yet. */
    Milliseconds readTimeout { 5000 };
    /** How long the sending of one answer may take. */
    Milliseconds writeTimeout { 5000 };
    /** How long an authenticated connection may wait for its next call before it is closed. */
    Milliseconds idleTimeout { 60'000 };
    /** Open connections; further ones are closed at once. Each connection has its own thread. */
    std::size_t connectionLimit = 1024;
    /** Calls in flight at the same time, without heartbeats; further ones are refused before anything is done. */
    std::size_t callLimit = 512;
    /** How long stop() still answers new calls, with a refusal, after the calls in flight have finished and the listener has been
        closed, and before it closes the connections. */
    Milliseconds drainTime { 100 };
};

/**
    Serves the calls of peers, in Thrift's binary protocol and framed transport.

    Each connection has its own thread. Peers send heartbeats on separate connections, so that a long call delays no heartbeat;
    heartbeats do not count towards the limit on calls. Messages that are not calls with the shared secret are refused and counted
    in the metric "peer_refused_total", labelled with the reason.
*/
class PeerServer
{
public:
    PeerServer(const PeerServerOptions &options, PeerHandler &handler, Clock &clock, Metrics &metrics);

    /** Stops the server if it still runs. */
    ~PeerServer();

    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    /** Binds the address and listens. @return the port; empty with reason and message of the failure filled */
    std::optional<int> bind(Failure &failure);

    /** Starts the threads that accept and serve connections until stop(). Call bind() first. */
    void start();

    /** Refuses new calls, waits for those in flight, then closes all connections and joins all threads. */
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace auburndoor
