// Asio 1.74 uses std::exchange without including <utility>.
#include <utility>

#include "net/EventLoop.h"
#include "net/HttpChannels.h"
#include "net/HttpListener.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <thread>

using namespace auburndoor;

namespace {

/** A listener on the loopback interface and a client of it, on one event loop. */
struct Loopback
{
    explicit Loopback(HttpHandler handler) : listener(loop, {}, std::move(handler))
    {
        std::string error;
        REQUIRE(listener.listen({ "127.0.0.1", 0 }, error));
        channels = std::make_unique<HttpChannels>(loop, Address { "127.0.0.1", listener.port() }, HttpChannelLimits {});
    }

    SendResult send(WebRequest request, Milliseconds timeout = Milliseconds(5000))
    {
        SendResult received;
        channels->send(std::move(request), timeout, [&](SendResult result) {
            received = std::move(result);
            loop.stop();
        });
        loop.run();
        return received;
    }

    EventLoop loop;
    HttpListener listener;
    std::unique_ptr<HttpChannels> channels;
};

using Tcp = boost::asio::ip::tcp;

/** A peer that answers one request with given bytes, in pieces, and then closes the connection. */
struct ScriptedPeer
{
    explicit ScriptedPeer(std::vector<std::string> pieces) : pieces(std::move(pieces))
    {
    }

    SendResult answer()
    {
        HttpChannels channels(loop, { "127.0.0.1", acceptor.local_endpoint().port() }, {});
        SendResult received;
        loop.after(Milliseconds(10), [this] {
            acceptor.accept(socket);
            // A close with unread bytes would reset the connection.
            std::string request(1024, '\0');
            socket.read_some(boost::asio::buffer(request));
            sendNext();
        });
        channels.send({ "GET", "/", {}, {} }, Milliseconds(3000), [&](SendResult result) {
            received = std::move(result);
            loop.stop();
        });
        loop.run();
        return received;
    }

    void sendNext()
    {
        if (next == pieces.size()) {
            socket.close();
            return;
        }
        boost::asio::write(socket, boost::asio::buffer(pieces[next++]));
        loop.after(Milliseconds(2), [this] { sendNext(); });
    }

    EventLoop loop;
    Tcp::acceptor acceptor { loop.context(), { boost::asio::ip::address_v4::loopback(), 0 } };
    Tcp::socket socket { loop.context() };
    std::vector<std::string> pieces;
    std::size_t next = 0;
};

/** Sends bytes to a listener on a connection of its own. @return what arrived within 100 ms */
std::string exchangeBytes(Loopback &loopback, const std::string &sent)
{
    Tcp::socket socket(loopback.loop.context());
    socket.connect({ boost::asio::ip::address_v4::loopback(), loopback.listener.port() });
    boost::asio::write(socket, boost::asio::buffer(sent));
    loopback.loop.after(Milliseconds(100), [&] { loopback.loop.stop(); });
    loopback.loop.run();
    std::string received(std::size_t(64) * 1024, '\0');
    received.resize(socket.available() == 0 ? 0 : socket.read_some(boost::asio::buffer(received)));
    return received;
}

} // namespace

TEST_CASE("a request and its reply arrive whole, over one kept connection")
{
    Loopback loopback([](const WebRequest &request, const HttpResponderPointer &responder) {
        responder->reply({ 200, request.method + " " + request.target + " " + request.header("x-a") + " " + request.body, {} });
    });
    CHECK(loopback.send({ "POST", "/p?q=1", { { "X-A", "v" } }, "body" }).reply.body == "POST /p?q=1 v body");
    CHECK(loopback.listener.openConnections() == 1);
}

// Guards against a caller that waits forever for a peer that never replies.
TEST_CASE("a reply that does not arrive in time is lost, and the connection is not used again")
{
    std::vector<HttpResponderPointer> unansweredResponders;
    Loopback loopback([&](const WebRequest &request, const HttpResponderPointer &responder) {
        if (request.target == "/silent") {
            unansweredResponders.push_back(responder);
            return;
        }
        responder->reply({ 200, "reply to another request", {} });
    });
    CHECK(loopback.send({ "GET", "/silent", {}, {} }, Milliseconds(50)).outcome == SendOutcome::Lost);
}

// Guards against commands that a process sends after it was suspended while their connection opened: what they asked for may have
// been decided otherwise since.
TEST_CASE("a request whose time passes while its connection opens is not sent")
{
    int received = 0;
    Loopback loopback([&received](const WebRequest &, const HttpResponderPointer &responder) {
        ++received;
        responder->reply({ 200, {}, {} });
    });
    SendOutcome outcome = SendOutcome::Answered;
    loopback.channels->send(
        { "POST", "/", {}, {} }, Milliseconds(50), [&outcome](const SendResult &result) { outcome = result.outcome; });
    std::this_thread::sleep_for(Milliseconds(100));
    loopback.loop.after(Milliseconds(50), [&loopback] { loopback.loop.stop(); });
    loopback.loop.run();
    CHECK(outcome == SendOutcome::NotSent);
    CHECK(received == 0);
}

TEST_CASE("a refused connection is distinguished from a lost reply")
{
    EventLoop loop;
    HttpChannels channels(loop, { "127.0.0.1", 1 }, {});
    SendOutcome outcome = SendOutcome::Answered;
    channels.send({ "GET", "/", {}, {} }, Milliseconds(2000), [&](const SendResult &result) {
        outcome = result.outcome;
        loop.stop();
    });
    loop.run();
    CHECK(outcome == SendOutcome::NotSent);
}

// Guards against a reply to a request that its handler has abandoned.
TEST_CASE("an abandoned request closes the connection without a reply")
{
    Loopback loopback([](const WebRequest &, const HttpResponderPointer &responder) { responder->abandon(); });
    CHECK(loopback.send({ "GET", "/", {}, {} }).outcome == SendOutcome::Lost);
}

TEST_CASE("a body over the limit is rejected")
{
    Loopback loopback([](const WebRequest &, const HttpResponderPointer &responder) { responder->reply({ 200, {}, {} }); });
    CHECK(loopback.send({ "POST", "/", {}, std::string(std::size_t(2) << 20, 'x') }).outcome != SendOutcome::NotSent);
    CHECK(loopback.send({ "POST", "/", {}, "small" }).hasStatus(200));
}

TEST_CASE("addresses are read and written")
{
    CHECK(Address::parse("10.1.0.30:8149") == Address { "10.1.0.30", 8149 });
    CHECK(Address { "10.1.0.30", 8149 }.text() == "10.1.0.30:8149");
    for (const char *text : { "", "10.1.0.30", ":80", "a:b", "a:70000", "a:" }) {
        CHECK_FALSE(Address::parse(text));
    }
}

// Guards against a client that is told that its job was refused although the owner stored the job before it died: the first
// request was received, so it must not count as NotSent when its repetition finds no listener.
TEST_CASE("a request that was received on a kept connection is lost when its repetition finds no listener")
{
    EventLoop loop;
    std::unique_ptr<HttpListener> listener;
    listener = std::make_unique<HttpListener>(
        loop, HttpListenerLimits(), [&](const WebRequest &request, const HttpResponderPointer &responder) {
            if (request.target == "/first") {
                responder->reply({ 200, {}, {} });
                return;
            }
            loop.after(Milliseconds(0), [&listener, responder] {
                listener.reset();
                responder->abandon();
            });
        });
    std::string error;
    REQUIRE(listener->listen({ "127.0.0.1", 0 }, error));
    HttpChannels channels(loop, { "127.0.0.1", listener->port() }, {});
    std::vector<SendResult> results;
    const auto send = [&](const std::string &target) {
        channels.send({ "POST", target, {}, "body", true }, Milliseconds(5000), [&](SendResult result) {
            results.push_back(std::move(result));
            loop.stop();
        });
        loop.run();
    };
    send("/first");
    send("/second");
    REQUIRE(results.size() == 2);
    CHECK(results[0].hasStatus(200));
    CHECK(results[1].outcome == SendOutcome::Lost);
}

// Guards against parts of large messages that are lost when the socket takes only some of the bytes at once.
TEST_CASE("messages larger than the buffers of the sockets arrive whole")
{
    Loopback loopback([](const WebRequest &request, const HttpResponderPointer &responder) {
        responder->reply({ 200, request.body + std::string(std::size_t(8) << 20, 'r'), {} });
    });
    const std::string sent(std::size_t(1) << 20, 'q');
    for (int exchange = 0; exchange < 3; ++exchange) {
        const auto result = loopback.send({ "POST", "/", {}, sent });
        REQUIRE(result.hasStatus(200));
        CHECK(result.reply.body == sent + std::string(std::size_t(8) << 20, 'r'));
    }
    CHECK(loopback.listener.openConnections() == 1);
}

TEST_CASE("a reply that arrives in pieces is read whole")
{
    ScriptedPeer peer({ "HTTP/1.1 20", "0 OK\r\nContent-Le", "ngth: 6\r\n", "\r\nab", "cd", "ef" });
    const auto result = peer.answer();
    CHECK(result.hasStatus(200));
    CHECK(result.reply.body == "abcdef");
}

TEST_CASE("a chunked reply is read whole")
{
    ScriptedPeer peer({ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab", "c\r\n2\r\nde\r\n", "0\r\n\r\n" });
    CHECK(peer.answer().reply.body == "abcde");
}

TEST_CASE("a reply without a length ends with its connection")
{
    ScriptedPeer peer({ "HTTP/1.1 200 OK\r\n\r\nab", "cd" });
    const auto result = peer.answer();
    CHECK(result.hasStatus(200));
    CHECK(result.reply.body == "abcd");
}

// Guards against half a report that is taken for a whole one.
TEST_CASE("a reply that is cut off is lost")
{
    CHECK(ScriptedPeer({ "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nabc" }).answer().outcome == SendOutcome::Lost);
    CHECK(ScriptedPeer({ "HTTP/1.1 200 OK\r\nContent-" }).answer().outcome == SendOutcome::Lost);
    CHECK(ScriptedPeer({ "no HTTP\r\n\r\n" }).answer().outcome == SendOutcome::Lost);
}

// Guards against requests that are forgotten because they arrived together with the one before.
TEST_CASE("requests that arrive together are answered in their order")
{
    Loopback loopback([](const WebRequest &request, const HttpResponderPointer &responder) {
        responder->reply({ 200, request.target + request.body, {} });
    });
    std::string sent;
    std::string expected;
    for (int index = 0; index < 200; ++index) {
        const auto target = "/" + std::to_string(index);
        sent += "POST " + target + " HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nb";
        expected += "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(target.size() + 1)
                    + "\r\n\r\n" + target + "b";
    }
    CHECK(exchangeBytes(loopback, sent) == expected);
}

TEST_CASE("a request with too large headers is rejected, and one that is no HTTP closes the connection")
{
    Loopback loopback([](const WebRequest &, const HttpResponderPointer &responder) { responder->reply({ 200, {}, {} }); });
    CHECK(exchangeBytes(loopback, "GET / HTTP/1.1\r\nA: " + std::string(20000, 'a') + "\r\n\r\n").starts_with("HTTP/1.1 413 "));
    CHECK(exchangeBytes(loopback, "no HTTP\r\n\r\n").empty());
}

// Guards against connections that keep their descriptors after their client has gone silent.
TEST_CASE("a connection that is idle for the idle timeout is closed")
{
    EventLoop loop;
    HttpListenerLimits limits;
    limits.idleTimeout = Milliseconds(50);
    HttpListener listener(loop, limits, [](const WebRequest &, const HttpResponderPointer &responder) {
        responder->reply({ 200, {}, {} });
    });
    std::string error;
    REQUIRE(listener.listen({ "127.0.0.1", 0 }, error));
    HttpChannels channels(loop, { "127.0.0.1", listener.port() }, {});
    int answered = 0;
    channels.send({ "GET", "/", {}, {} }, Milliseconds(3000), [&](const SendResult &result) { answered += result.hasStatus(200); });
    loop.after(Milliseconds(30), [&] { CHECK(listener.openConnections() == 1); });
    loop.after(Milliseconds(150), [&] { loop.stop(); });
    loop.run();
    CHECK(answered == 1);
    CHECK(listener.openConnections() == 0);
}

// Guards against a process whose last log line doesn't tell which requests its exit has left without an answer.
TEST_CASE("the load of a listener tells apart open, partly read and unwritten requests and idle connections")
{
    std::vector<HttpResponderPointer> unansweredResponders;
    Loopback loopback([&](const WebRequest &request, const HttpResponderPointer &responder) {
        if (request.target == "/open") {
            unansweredResponders.push_back(responder);
            return;
        }
        responder->reply({ 200, std::string(request.target == "/large" ? std::size_t(32) << 20 : 0, 'r'), {} });
    });
    std::vector<Tcp::socket> clients;
    for (const std::string sent : { "GET /open HTTP/1.1\r\n\r\n", "GET /large HTTP/1.1\r\n\r\n", "GET /par", "", "" }) {
        auto &client = clients.emplace_back(loopback.loop.context());
        client.connect({ boost::asio::ip::address_v4::loopback(), loopback.listener.port() });
        boost::asio::write(client, boost::asio::buffer(sent));
    }
    // On a busy machine the listener accepts and reads the connections one after the other over more than one interval.
    constexpr int maxIntervals = 50;
    const auto hasReadAll = [&] {
        const auto load = loopback.listener.load();
        return loopback.listener.openConnections() == clients.size() && load.openRequests == 1 && load.unwrittenReplies == 1
               && load.partialRequests == 1;
    };
    for (int interval = 0; interval == 0 || (interval < maxIntervals && !hasReadAll()); ++interval) {
        loopback.loop.after(Milliseconds(100), [&] { loopback.loop.stop(); });
        loopback.loop.run();
    }
    const auto load = loopback.listener.load();
    CHECK(load.openRequests == 1);
    CHECK(load.unwrittenReplies == 1);
    CHECK(load.partialRequests == 1);
    CHECK(load.idleConnections == 2);
    CHECK(load.oldestAge >= Milliseconds(50));
}
