// Asio 1.74 uses std::exchange without including <utility>.
#include <utility>

#include "KeepAliveClient.h"
#include "entry/ListenerDrain.h"
#include "net/HttpListener.h"

#include <boost/asio/read.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <vector>

using namespace auburndoor;

namespace {

using Tcp = boost::asio::ip::tcp;
using Error = boost::system::error_code;

/** The listeners of a process that stops. */
struct StoppingProcess
{
    StoppingProcess(ListenerDrainTiming timing, HttpHandler handler)
        : clients(loop, {}, std::move(handler))
        , peers(loop, {}, [](const WebRequest &, const HttpResponderPointer &responder) { responder->reply({}); })
        , drain(loop, clients, peers, timing)
    {
        std::string error;
        REQUIRE(clients.listen({ "127.0.0.1", 0 }, error));
        REQUIRE(peers.listen({ "127.0.0.1", 0 }, error));
        // Ends a test whose condition never holds.
        loop.after(Milliseconds(20000), [this] { loop.stop(); });
    }

    void runUntil(const std::function<bool()> &condition)
    {
        const std::function<void()> check = [&] {
            if (condition()) {
                loop.stop();
            } else {
                loop.after(Milliseconds(1), check);
            }
        };
        loop.after(Milliseconds(0), check);
        loop.run();
        REQUIRE(condition());
    }

    void startDrain()
    {
        startTime = loop.now();
        drain.start([this] {
            isDone = true;
            duration = std::chrono::duration_cast<Milliseconds>(loop.now() - startTime);
            loadAtEnd = clients.load();
            loop.stop();
        });
    }

    Tcp::socket connect()
    {
        Tcp::socket socket(loop.context());
        socket.connect({ boost::asio::ip::address_v4::loopback(), clients.port() });
        return socket;
    }

    EventLoop loop;
    HttpListener clients;
    HttpListener peers;
    ListenerDrain drain;
    TimePoint startTime;
    bool isDone = false;
    /** The length of the drain. */
    Milliseconds duration { 0 };
    HttpListenerLoad loadAtEnd;
};

/** What a client reads from a connection, until it ends. */
struct Received
{
    explicit Received(Tcp::socket &socket)
    {
        boost::asio::async_read(socket, boost::asio::dynamic_buffer(text), [this](const Error &code, std::size_t) {
            error = code;
            hasEnded = true;
        });
    }

    std::string text;
    Error error;
    bool hasEnded = false;
};

/** Reads some bytes every few milliseconds. */
void readSlowly(EventLoop &loop, Tcp::socket &socket, std::size_t &total)
{
    std::vector<char> buffer(std::size_t(256) * 1024);
    Error error;
    total += socket.read_some(boost::asio::buffer(buffer), error);
    if (!error || error == boost::asio::error::would_block) {
        loop.after(Milliseconds(4), [&] { readSlowly(loop, socket, total); });
    }
}

constexpr std::size_t largeReplyBytes = std::size_t(32) << 20;

HttpHandler largeReplyHandler()
{
    return [](const WebRequest &, const HttpResponderPointer &responder) {
        responder->reply({ 200, std::string(largeReplyBytes, 'r'), {} });
    };
}

} // namespace

// Guards against clients that send their next request while the process exits, since nothing told them that it stops.
TEST_CASE("answers of a stopping process announce the end of the connection, which then ends in order")
{
    HttpResponderPointer slowResponder;
    StoppingProcess process({ .acceptDuration = Milliseconds(300), .maxDuration = Milliseconds(3000) },
                            [&](const WebRequest &request, const HttpResponderPointer &responder) {
                                if (request.target == "/slow") {
                                    slowResponder = responder;
                                    return;
                                }
                                responder->reply({});
                            });
    // One request is open when the drain starts, the other connection is kept open and sends its request later.
    auto slowClient = process.connect();
    auto client = process.connect();
    boost::asio::write(slowClient, boost::asio::buffer(std::string("GET /slow HTTP/1.1\r\n\r\n")));
    process.runUntil([&] { return slowResponder && process.clients.openConnections() == 2; });
    process.startDrain();
    Received slowReceived(slowClient);
    Received received(client);
    boost::asio::write(client, boost::asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
    process.loop.after(Milliseconds(50), [&] { slowResponder->reply({}); });
    process.runUntil([&] { return process.isDone || (received.hasEnded && slowReceived.hasEnded); });
    for (const auto *each : { &received, &slowReceived }) {
        CHECK(each->text.starts_with("HTTP/1.1 200 OK\r\n"));
        CHECK(each->text.find("\r\nConnection: close\r\n") != std::string::npos);
        CHECK(each->hasEnded);
        CHECK(each->error == boost::asio::error::eof);
    }
}

// Guards against an answer that is cut because it counted as given before its bytes had left the process.
TEST_CASE("a stopping process waits until a slow reader has taken a large answer")
{
    StoppingProcess process({ .acceptDuration = Milliseconds(100), .maxDuration = Milliseconds(15000) }, largeReplyHandler());
    auto client = process.connect();
    boost::asio::write(client, boost::asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
    process.runUntil([&] { return process.clients.load().unwrittenReplies == 1; });
    client.non_blocking(true);
    std::size_t total = 0;
    readSlowly(process.loop, client, total);
    process.startDrain();
    process.runUntil([&] { return process.isDone; });
    CHECK(process.loadAtEnd.unwrittenReplies == 0);
    CHECK(process.duration < Milliseconds(15000));
    process.runUntil([&] { return total > largeReplyBytes; });
}

// Guards against a stop that takes longer than its grace because of one client.
TEST_CASE("a client that takes no byte of its answer does not hold up a stop for longer than its time")
{
    StoppingProcess process({ .acceptDuration = Milliseconds(100), .maxDuration = Milliseconds(600) }, largeReplyHandler());
    auto client = process.connect();
    boost::asio::write(client, boost::asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
    process.runUntil([&] { return process.clients.load().unwrittenReplies == 1; });
    process.startDrain();
    process.runUntil([&] { return process.isDone; });
    CHECK(process.duration >= Milliseconds(600));
    CHECK(process.duration < Milliseconds(2000));
    CHECK(process.loadAtEnd.unwrittenReplies == 1);
}

// Guards against requests in flight on kept connections that a stop cuts.
TEST_CASE("every request that is sent over kept connections throughout a stop is answered")
{
    HttpHandler handler;
    StoppingProcess process(
        { .acceptDuration = Milliseconds(1000), .maxDuration = Milliseconds(3000) },
        [&handler](WebRequest request, HttpResponderPointer responder) { handler(std::move(request), std::move(responder)); });
    handler = [&process](const WebRequest &, const HttpResponderPointer &responder) {
        process.loop.after(Milliseconds(3), [responder] { responder->reply({}); });
    };
    std::vector<std::shared_ptr<KeepAliveClient>> clients;
    for (int index = 0; index < 16; ++index) {
        const Milliseconds pause(index * 2);
        clients.push_back(std::make_shared<KeepAliveClient>(process.loop, process.clients.port(), pause));
        clients.back()->connect();
    }
    const auto haveAllAnswers = [&] {
        return std::all_of(clients.begin(), clients.end(), [](const auto &client) { return client->answered() > 1; });
    };
    process.runUntil(haveAllAnswers);
    process.startDrain();
    process.runUntil([&] { return process.isDone; });
    // What is not answered when the drain ends is cut by the exit of the process.
    for (const auto &client : clients) {
        CHECK(client->lost() == 0);
        CHECK_FALSE(client->isWaiting());
        CHECK(client->isRefused());
    }
    CHECK(process.duration < Milliseconds(2000));
}

// Guards against a request that crosses with the close of its connection, and against a stop that idle connections make longer.
TEST_CASE("idle connections end in order before a stop ends, which they do not hold up")
{
    StoppingProcess process({ .acceptDuration = Milliseconds(1200), .maxDuration = Milliseconds(4000) },
                            [](const WebRequest &, const HttpResponderPointer &responder) { responder->reply({}); });
    auto client = process.connect();
    process.runUntil([&] { return process.clients.openConnections() == 1; });
    Received received(client);
    process.startDrain();
    process.runUntil([&] { return received.hasEnded; });
    CHECK(received.error == boost::asio::error::eof);
    CHECK_FALSE(process.isDone);
    client.close();
    process.runUntil([&] { return process.isDone; });
    CHECK(process.loadAtEnd.idleConnections == 0);
    CHECK(process.duration >= Milliseconds(1200));
    CHECK(process.duration < Milliseconds(1800));
}

// Guards against an owner that stops while its successor is not yet elected, and against relayed commands that are refused early.
TEST_CASE("other processes are served until the clients are done and the ownership is handed over")
{
    bool isOwner = true;
    StoppingProcess process({}, [](const WebRequest &, const HttpResponderPointer &responder) { responder->reply({}); });
    ListenerDrain drain(process.loop,
                        process.clients,
                        process.peers,
                        { .acceptDuration = Milliseconds(100), .maxDuration = Milliseconds(4000) },
                        [&isOwner] { return isOwner; });
    bool isDone = false;
    drain.start([&isDone] { isDone = true; });
    auto peer = std::make_shared<KeepAliveClient>(process.loop, process.peers.port(), Milliseconds(10));
    peer->connect();
    const auto start = process.loop.now();
    process.runUntil([&] { return process.loop.now() > start + Milliseconds(400); });
    CHECK(peer->answered() > 5);
    CHECK_FALSE(isDone);
    isOwner = false;
    process.runUntil([&] { return isDone; });
    CHECK(peer->lost() == 0);
    CHECK_FALSE(peer->isWaiting());
    CHECK(process.loop.now() < start + Milliseconds(2000));
}
