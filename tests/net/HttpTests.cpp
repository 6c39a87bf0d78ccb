#include "net/EventLoop.h"
#include "net/HttpChannels.h"
#include "net/HttpListener.h"

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
