#pragma once

#include "core/Failure.h"
#include "core/ManualClock.h"
#include "fakes/StubPeerHandler.h"
#include "observability/Metrics.h"
#include "peer/PeerServer.h"
#include "peer/ThriftPeer.h"

#include <future>
#include <memory>
#include <stdexcept>
#include <thread>

namespace auburndoor {

/** A PeerServer on a free port with a connected ThriftPeer. The two sides have separate clocks that show different times. */
struct PeerFixture
{
    explicit PeerFixture(PeerServerOptions options = {})
    {
        serverClock.advance(std::chrono::hours(5));
        handler.self.id = InstanceId("server");
        handler.self.summary.sequence = 1;
        options.secret = secret;
        options.drainTime = Milliseconds(50);
        server = std::make_unique<PeerServer>(options, handler, serverClock, serverMetrics);
        Failure failure;
        const auto port = server->bind(failure);
        if (!port) {
            throw std::runtime_error(failure.text());
        }
        address = "127.0.0.1:" + std::to_string(*port);
        server->start();
        client = connect(secret);
    }

    std::unique_ptr<ThriftPeer> connect(const std::string &clientSecret, std::size_t connectionLimit = 64)
    {
        ThriftPeerOptions options;
        options.peer = InstanceId("server");
        options.address = address;
        options.secret = clientSecret;
        options.connectionLimit = connectionLimit;
        return std::make_unique<ThriftPeer>(options, clientClock, clientMetrics);
    }

    Request request(const std::string &id = "r1") const
    {
        Request result;
        result.id = RequestId(id);
        result.deadline = clientClock.now() + Milliseconds(700);
        result.arrival = clientClock.now() - Milliseconds(30);
        return result;
    }

    /** Makes execute() of the handler wait until the returned promise is fulfilled. */
    std::shared_ptr<std::promise<void>> blockExecute()
    {
        auto unblock = std::make_shared<std::promise<void>>();
        handler.onExecute = [unblock, future = unblock->get_future().share()](const Request &request) {
            future.wait();
            return StubPeerHandler::answer(request);
        };
        return unblock;
    }

    void waitForExecutions(int count) const
    {
        while (handler.executions < count) {
            std::this_thread::yield();
        }
    }

    /** The refusals with the given reason that the server has counted. */
    long long countRefused(std::string_view reason) const
    {
        return serverMetrics.counter("peer_refused_total", reason);
    }

    const std::string secret = "the secret of the peers";
    ManualClock serverClock;
    ManualClock clientClock;
    Metrics serverMetrics;
    Metrics clientMetrics;
    StubPeerHandler handler;
    std::unique_ptr<PeerServer> server;
    std::string address;
    std::unique_ptr<ThriftPeer> client;
};

} // namespace auburndoor
