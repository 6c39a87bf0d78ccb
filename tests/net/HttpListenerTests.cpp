// Asio 1.74 uses std::exchange without including <utility>.
#include <utility>

#include "net/EventLoop.h"
#include "net/HttpListener.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <functional>

using namespace auburndoor;

namespace {

using Tcp = boost::asio::ip::tcp;
using Error = boost::system::error_code;

/** A client that sends some bytes and reads until its connection ends. */
struct RawClient
{
    RawClient(EventLoop &loop, const HttpListener &listener) : socket(loop.context())
    {
        socket.connect({ boost::asio::ip::address_v4::loopback(), listener.port() });
        boost::asio::async_read(socket, boost::asio::dynamic_buffer(received), [this](const Error &error, std::size_t) {
            readError = error;
            hasEnded = true;
        });
    }

    void send(std::string text)
    {
        sent = std::move(text);
        isSending = true;
        boost::asio::async_write(socket, boost::asio::buffer(sent), [this](const Error &error, std::size_t) {
            writeError = error;
            isSending = false;
        });
    }

    Tcp::socket socket;
    std::string sent;
    std::string received;
    Error readError;
    Error writeError;
    bool isSending = false;
    bool hasEnded = false;
};

/** A listener whose handler answers at once, and its loop. */
struct ListenerFixture
{
    explicit ListenerFixture(HttpListenerLimits limits)
        : listener(loop, limits, [this](const WebRequest &, const HttpResponderPointer &responder) {
            ++handled;
            responder->reply({});
        })
    {
        std::string error;
        REQUIRE(listener.listen({ "127.0.0.1", 0 }, error));
    }

    /** Runs the loop until the condition holds, or for 10 s. */
    void runUntil(const std::function<bool()> &condition)
    {
        const auto end = loop.now() + Milliseconds(10000);
        const std::function<void()> check = [&] {
            if (condition() || loop.now() > end) {
                loop.stop();
            } else {
                loop.after(Milliseconds(1), check);
            }
        };
        loop.after(Milliseconds(0), check);
        loop.run();
    }

    EventLoop loop;
    int handled = 0;
    HttpListener listener;
};

} // namespace

// Guards against an answer that the kernel discards at the client: a connection that closes with unread input is reset.
TEST_CASE("a client that is still sending a too large body can send it and read the whole answer")
{
    ListenerFixture fixture({});
    RawClient client(fixture.loop, fixture.listener);
    client.send("POST / HTTP/1.1\r\nContent-Length: 33554432\r\n\r\n" + std::string(std::size_t(32) << 20, 'x'));
    fixture.runUntil([&] { return client.hasEnded && !client.isSending; });
    CHECK(client.received.starts_with("HTTP/1.1 413 "));
    CHECK(client.received.ends_with("{\"error\":\"request too large\"}"));
    CHECK(client.readError == boost::asio::error::eof);
    CHECK_FALSE(client.writeError);
}

// Guards against clients that cannot tell a full process from a broken one.
TEST_CASE("a full listener tells further clients to come back later")
{
    ListenerFixture fixture({ .maxConnections = 1 });
    RawClient first(fixture.loop, fixture.listener);
    fixture.runUntil([&] { return fixture.listener.openConnections() == 1; });
    RawClient second(fixture.loop, fixture.listener);
    second.send("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc");
    fixture.runUntil([&] { return second.hasEnded; });
    CHECK(second.received.starts_with("HTTP/1.1 503 "));
    CHECK(second.received.find("\r\nRetry-After: 1\r\n") != std::string::npos);
    CHECK(second.received.find("\r\nConnection: close\r\n") != std::string::npos);
    CHECK(second.readError == boost::asio::error::eof);
    CHECK(fixture.handled == 0);
    // The first connection is served as before.
    first.send("GET / HTTP/1.1\r\n\r\n");
    fixture.runUntil([&] { return first.received.starts_with("HTTP/1.1 200 "); });
    CHECK(first.received.starts_with("HTTP/1.1 200 "));
}

// Guards against descriptors that run out because a full listener keeps every further connection.
TEST_CASE("a full listener keeps only some further connections for their answer")
{
    ListenerFixture fixture({ .maxConnections = 1 });
    std::deque<RawClient> clients;
    for (int index = 0; index < 120; ++index) {
        clients.emplace_back(fixture.loop, fixture.listener);
    }
    const auto countEnded = [&] {
        return std::count_if(clients.begin(), clients.end(), [](const auto &each) { return each.hasEnded; });
    };
    fixture.runUntil([&] { return countEnded() >= 50; });
    for (auto &client : clients) {
        if (!client.hasEnded && &client != &clients.front()) {
            client.send("GET / HTTP/1.1\r\n\r\n");
        }
    }
    fixture.runUntil([&] { return countEnded() == 119; });
    const auto answered = std::count_if(
        clients.begin(), clients.end(), [](const auto &each) { return each.received.starts_with("HTTP/1.1 503 "); });
    CHECK(answered > 0);
    CHECK(answered < 70);
    CHECK(fixture.listener.openConnections() == 1);
}

// Guards against requests that arrived with the one before and that an announced end would leave without an answer.
TEST_CASE("a draining listener answers all requests that have arrived together, and announces the end with the last answer")
{
    ListenerFixture fixture({});
    RawClient client(fixture.loop, fixture.listener);
    fixture.runUntil([&] { return fixture.listener.openConnections() == 1; });
    fixture.listener.drain();
    client.send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\nGET /3 HTTP/1.1\r\n\r\n");
    fixture.runUntil([&] { return client.hasEnded; });
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    CHECK(client.received == answer + answer + "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    CHECK(client.readError == boost::asio::error::eof);
    CHECK(fixture.handled == 3);
}

// Guards against a request that takes effect although its client sees a connection that ended before an answer.
TEST_CASE("a request that arrives after its idle connection was closed is not carried out, and is counted")
{
    ListenerFixture fixture({});
    RawClient client(fixture.loop, fixture.listener);
    fixture.runUntil([&] { return fixture.listener.openConnections() == 1; });
    fixture.listener.closeIdle(Milliseconds(100000));
    CHECK(fixture.listener.load().idleConnections == 1);
    fixture.listener.closeIdle(Milliseconds(0));
    client.send("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc");
    fixture.runUntil([&] { return client.hasEnded && fixture.listener.load().discardedRequests > 0; });
    CHECK(client.received.empty());
    CHECK(client.readError == boost::asio::error::eof);
    CHECK(fixture.listener.load().discardedRequests == 1);
    CHECK(fixture.handled == 0);
    // Its client ends the connection.
    client.socket.close();
    fixture.runUntil([&] { return fixture.listener.openConnections() == 0; });
    CHECK(fixture.listener.openConnections() == 0);
}

// Guards against connections that wait in the queue of a listening socket and are reset when it closes.
TEST_CASE("connections that wait to be accepted when a listener stops to accept are served")
{
    ListenerFixture fixture({});
    std::deque<RawClient> clients;
    for (int index = 0; index < 40; ++index) {
        clients.emplace_back(fixture.loop, fixture.listener).send("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
    }
    // The loop has not run yet, so all of them wait.
    fixture.listener.stopAccepting();
    fixture.runUntil([&] { return std::all_of(clients.begin(), clients.end(), [](const auto &each) { return each.hasEnded; }); });
    for (const auto &client : clients) {
        CHECK(client.received.starts_with("HTTP/1.1 200 "));
        CHECK(client.readError == boost::asio::error::eof);
    }
}

// Guards against descriptors and memory that a client holds by never ending its connection.
TEST_CASE("a client that does not end its connection after the last answer is cut off after the linger timeout")
{
    ListenerFixture fixture({ .lingerTimeout = Milliseconds(100) });
    RawClient client(fixture.loop, fixture.listener);
    client.send("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
    fixture.runUntil([&] { return client.hasEnded; });
    CHECK(client.received.starts_with("HTTP/1.1 200 "));
    CHECK(fixture.listener.openConnections() == 1);
    fixture.runUntil([&] { return fixture.listener.openConnections() == 0; });
    CHECK(fixture.listener.openConnections() == 0);
}
