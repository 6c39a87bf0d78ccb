// Asio 1.74 uses std::exchange without including <utility>.
#include <utility>

#include "net/EventLoop.h"
#include "net/HttpChannels.h"
#include "net/HttpListener.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>

using namespace auburndoor;

namespace {

using Tcp = boost::asio::ip::tcp;

/** Ends a test that would otherwise wait forever. */
constexpr Milliseconds longTimeout { 20000 };

/** A peer that records the requests it receives. It keeps those to /wait open, and closes the connection at one to /abandon. */
struct Peer
{
    explicit Peer(EventLoop &loop)
        : listener(loop, {}, [this](const WebRequest &request, const HttpResponderPointer &responder) {
            received.push_back(request.target);
            if (request.target == "/abandon") {
                responder->abandon();
            } else if (request.target == "/wait") {
                open.push_back(responder);
            } else {
                responder->reply({ 200, request.target, {} });
            }
        })
    {
        std::string error;
        REQUIRE(listener.listen({ "127.0.0.1", 0 }, error));
    }

    Address address() const
    {
        return { "127.0.0.1", listener.port() };
    }

    int count(const std::string &target) const
    {
        return static_cast<int>(std::count(received.begin(), received.end(), target));
    }

    HttpListener listener;
    std::vector<std::string> received;
    std::vector<HttpResponderPointer> open;
};

/** Sends requests on one event loop. */
struct Sender
{
    explicit Sender(EventLoop &loop, const Address &peer, std::size_t maxConnections = 2)
        : loop(loop), channels(std::make_unique<HttpChannels>(loop, peer, HttpChannelLimits { .maxConnections = maxConnections }))
    {
    }

    /** Begins to send a request. @return its result, which is empty until it has ended */
    std::shared_ptr<std::optional<SendResult>> begin(const std::string &target,
                                                     std::uint64_t boundTo,
                                                     bool isRepeatable = false,
                                                     Milliseconds timeout = longTimeout)
    {
        auto result = std::make_shared<std::optional<SendResult>>();
        WebRequest request { "POST", target, {}, "body", isRepeatable, boundTo };
        channels->send(std::move(request), timeout, [result](SendResult received) { *result = std::move(received); });
        return result;
    }

    /** Runs the loop until the condition holds. @return false if it does not hold within the long time-out */
    bool runUntil(const std::function<bool()> &condition) const
    {
        const auto end = loop.now() + longTimeout;
        while (!condition() && loop.now() < end) {
            loop.after(Milliseconds(1), [this] { loop.stop(); });
            loop.run();
        }
        return condition();
    }

    SendResult finish(const std::shared_ptr<std::optional<SendResult>> &result) const
    {
        REQUIRE(runUntil([&result] { return result->has_value(); }));
        return **result;
    }

    SendResult send(const std::string &target, std::uint64_t boundTo, bool isRepeatable = false, Milliseconds timeout = longTimeout)
    {
        return finish(begin(target, boundTo, isRepeatable, timeout));
    }

    EventLoop &loop;
    std::unique_ptr<HttpChannels> channels;
};

bool isRefused(const SendResult &result)
{
    return result.outcome == SendOutcome::NotSent && result.isConnectionClosed && result.connection == 0;
}

/** A client and its peer. */
struct Link
{
    EventLoop loop;
    Peer peer { loop };
    Sender sender { loop, peer.address() };
};

/** A peer whose connection is reset after its first reply; it takes no further connection until accept(). */
struct ResettingPeer
{
    void accept()
    {
        acceptor.async_accept(socket, [this](const boost::system::error_code &error) {
            REQUIRE_FALSE(error);
            input.consume(input.size());
            boost::asio::async_read_until(socket, input, "body", [this](const boost::system::error_code &readError, std::size_t) {
                REQUIRE_FALSE(readError);
                ++requestCount;
                boost::asio::write(socket, boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
            });
        });
    }

    /** Closes the connection with a reset in place of an orderly end. */
    void reset()
    {
        socket.set_option(boost::asio::socket_base::linger(true, 0));
        socket.close();
    }

    explicit ResettingPeer(EventLoop &loop)
        : acceptor(loop.context(), { boost::asio::ip::address_v4::loopback(), 0 }), socket(loop.context())
    {
    }

    Tcp::acceptor acceptor;
    Tcp::socket socket;
    boost::asio::streambuf input;
    int requestCount = 0;
};

} // namespace

// Guards against a bound request that opens a connection although its own one is idle, or that goes over another idle one.
TEST_CASE("a bound request is sent over its connection, whichever others are idle", "[bound]")
{
    Link link;
    const auto first = link.sender.begin("/wait", 0);
    const auto second = link.sender.begin("/wait", 0);
    REQUIRE(link.sender.runUntil([&link] { return link.peer.open.size() == 2; }));
    for (const auto &responder : link.peer.open) {
        responder->reply({ 200, {}, {} });
    }
    const auto firstNumber = link.sender.finish(first).connection;
    const auto secondNumber = link.sender.finish(second).connection;
    REQUIRE(firstNumber != 0);
    REQUIRE(secondNumber != 0);
    REQUIRE(firstNumber != secondNumber);
    for (const auto number : { secondNumber, firstNumber, secondNumber, secondNumber, firstNumber }) {
        const auto result = link.sender.send("/bound", number);
        CHECK(result.hasStatus(200));
        CHECK(result.connection == number);
        CHECK_FALSE(result.isConnectionClosed);
    }
    CHECK(link.peer.listener.openConnections() == 2);
}

// Guards against a command for a process that has ended: its connection is replaced by one to whatever listens at the address now.
TEST_CASE("a bound request is not sent once its connection was closed by the peer", "[bound]")
{
    const bool isRepeatable = GENERATE(false, true);
    const bool hasOtherConnection = GENERATE(false, true);
    CAPTURE(isRepeatable, hasOtherConnection);
    Link link;
    const auto number = link.sender.send("/first", 0).connection;
    CHECK(link.sender.send("/abandon", number, isRepeatable).outcome == SendOutcome::Lost);
    // Repeated on a new connection, it would be received twice.
    CHECK(link.peer.count("/abandon") == 1);
    if (hasOtherConnection) {
        REQUIRE(link.sender.send("/other", 0).connection != number);
    }
    for (int attempt = 0; attempt < 3; ++attempt) {
        CHECK(isRefused(link.sender.send("/bound", number, isRepeatable)));
    }
    CHECK(link.peer.count("/bound") == 0);
    const auto unbound = link.sender.send("/unbound", 0);
    CHECK(unbound.hasStatus(200));
    CHECK(unbound.connection != number);
}

// Guards against a command that is bound to a connection whose last reply has announced its end.
TEST_CASE("a bound request is not sent after a reply that has closed its connection", "[bound]")
{
    Link link;
    link.peer.listener.drain();
    const auto number = link.sender.send("/first", 0).connection;
    REQUIRE(number != 0);
    CHECK(isRefused(link.sender.send("/bound", number, true)));
    CHECK(link.peer.count("/bound") == 0);
}

// Guards against a repetition on a new connection of what was sent into one that the peer had closed while it was idle, which the
// client cannot know before it sends.
TEST_CASE("a bound request on a connection that has ended while idle is lost and not repeated", "[bound]")
{
    const bool isRepeatable = GENERATE(false, true);
    CAPTURE(isRepeatable);
    Link link;
    const auto number = link.sender.send("/first", 0).connection;
    link.peer.listener.closeIdle(Milliseconds(0));
    const auto crossed = link.sender.send("/crossed", number, isRepeatable);
    CHECK(crossed.outcome == SendOutcome::Lost);
    CHECK_FALSE(crossed.isConnectionClosed);
    CHECK(isRefused(link.sender.send("/bound", number, isRepeatable)));
    CHECK(link.peer.received == std::vector<std::string> { "/first" });
    // The same request without a connection is repeated: this is what the test would miss if the link were broken as a whole.
    REQUIRE(link.sender.send("/again", 0).hasStatus(200));
    link.peer.listener.closeIdle(Milliseconds(0));
    CHECK(link.sender.send("/unbound", 0, isRepeatable).hasStatus(200) == isRepeatable);
}

// Guards against the same after a reset, as of a process that was killed.
TEST_CASE("a bound request on a connection that was reset is lost and not repeated", "[bound]")
{
    const bool isRepeatable = GENERATE(false, true);
    CAPTURE(isRepeatable);
    EventLoop loop;
    ResettingPeer peer(loop);
    Sender sender(loop, { "127.0.0.1", peer.acceptor.local_endpoint().port() });
    peer.accept();
    const auto number = sender.send("/first", 0).connection;
    REQUIRE(number != 0);
    peer.reset();
    peer.accept();
    CHECK(sender.send("/crossed", number, isRepeatable).outcome == SendOutcome::Lost);
    CHECK(isRefused(sender.send("/bound", number, isRepeatable)));
    CHECK(peer.requestCount == 1);
    CHECK(sender.send("/unbound", 0).hasStatus(200));
    CHECK(peer.requestCount == 2);
}

// Guards against a command over a connection on which a late reply to another one may still arrive.
TEST_CASE("a bound request is not sent after a reply on its connection did not arrive in time", "[bound]")
{
    Link link;
    const auto number = link.sender.send("/first", 0).connection;
    CHECK(link.sender.send("/wait", number, true, Milliseconds(500)).outcome == SendOutcome::Lost);
    CHECK(isRefused(link.sender.send("/bound", number, true)));
    CHECK(link.peer.count("/wait") == 1);
    CHECK(link.peer.count("/bound") == 0);
}

// Guards against commands that are sent over a new connection after a change of the address has reset the former one.
TEST_CASE("no bound request is sent after a reset of its channels", "[bound]")
{
    Link link;
    const auto number = link.sender.send("/first", 0).connection;
    const auto inFlight = link.sender.begin("/wait", number, true);
    const auto waiting = link.sender.begin("/waiting", number, true);
    REQUIRE(link.sender.runUntil([&link] { return link.peer.open.size() == 1; }));
    link.sender.channels->reset();
    CHECK(link.sender.finish(inFlight).outcome == SendOutcome::Lost);
    CHECK(link.sender.finish(waiting).outcome == SendOutcome::NotSent);
    CHECK(isRefused(link.sender.send("/bound", number, true)));
    REQUIRE(link.sender.send("/unbound", 0).hasStatus(200));
    CHECK(isRefused(link.sender.send("/bound", number, true)));
    CHECK(link.peer.received == std::vector<std::string> { "/first", "/wait", "/unbound" });
}

// Guards against a number that names a connection of another HttpChannels, to another peer or to the same one.
TEST_CASE("the number of a connection means nothing to other channels", "[bound]")
{
    Link link;
    Peer otherPeer(link.loop);
    const auto number = link.sender.send("/first", 0).connection;
    for (auto *const peer : { &otherPeer, &link.peer }) {
        Sender other(link.loop, peer->address());
        CHECK(isRefused(other.send("/bound", number, true)));
        const auto otherNumber = other.send("/other", 0).connection;
        CHECK(otherNumber != number);
        CHECK(isRefused(other.send("/bound", number, true)));
        CHECK(isRefused(link.sender.send("/bound", otherNumber, true)));
    }
    // As after a change of the address: new channels take the place of the former ones.
    std::vector<std::uint64_t> numbers { number };
    for (int round = 0; round < 20; ++round) {
        link.sender.channels.reset();
        link.sender.channels = std::make_unique<HttpChannels>(
            link.loop, round % 2 == 0 ? otherPeer.address() : link.peer.address(), HttpChannelLimits());
        for (const auto former : numbers) {
            CHECK(isRefused(link.sender.send("/bound", former, true)));
        }
        const auto next = link.sender.send("/next", 0).connection;
        CHECK(std::find(numbers.begin(), numbers.end(), next) == numbers.end());
        numbers.push_back(next);
    }
    CHECK(link.peer.count("/bound") + otherPeer.count("/bound") == 0);
}

// Guards against commands that overtake one on their connection by another one, and against requests that starve behind them.
TEST_CASE("a bound request waits for its busy connection, and those after it wait as well", "[bound]")
{
    Link link;
    const auto number = link.sender.send("/first", 0).connection;
    const auto busy = link.sender.begin("/wait", number);
    REQUIRE(link.sender.runUntil([&link] { return link.peer.open.size() == 1; }));
    // The second connection is idle.
    const auto otherNumber = link.sender.send("/other", 0).connection;
    REQUIRE(otherNumber != number);
    const auto bound = link.sender.begin("/bound", number, true);
    const auto after = link.sender.begin("/after", 0);
    link.loop.after(Milliseconds(100), [&link] { link.loop.stop(); });
    link.loop.run();
    CHECK_FALSE(bound->has_value());
    CHECK_FALSE(after->has_value());
    CHECK(link.peer.received == std::vector<std::string> { "/first", "/wait", "/other" });
    link.peer.open.front()->reply({ 200, {}, {} });
    CHECK(link.sender.finish(busy).connection == number);
    CHECK(link.sender.finish(bound).connection == number);
    CHECK(link.sender.finish(after).hasStatus(200));
}

// Guards against a waiting command that goes over the connection that is opened for the repetition of the one before it.
TEST_CASE("a bound request whose busy connection breaks is not sent", "[bound]")
{
    const bool isRepeated = GENERATE(false, true);
    const std::size_t maxConnections = GENERATE(1, 2);
    CAPTURE(isRepeated, maxConnections);
    EventLoop loop;
    Peer peer(loop);
    Sender sender(loop, peer.address(), maxConnections);
    const auto number = sender.send("/first", 0).connection;
    const auto busy = sender.begin("/wait", 0, isRepeated);
    REQUIRE(sender.runUntil([&peer] { return peer.open.size() == 1; }));
    const auto bound = sender.begin("/bound", number, true);
    const auto after = sender.begin("/after", 0);
    peer.open.front()->abandon();
    CHECK(isRefused(sender.finish(bound)));
    if (isRepeated) {
        REQUIRE(sender.runUntil([&peer] { return peer.open.size() == 2; }));
        peer.open.back()->reply({ 200, {}, {} });
    }
    const auto result = sender.finish(busy);
    CHECK(result.outcome == (isRepeated ? SendOutcome::Answered : SendOutcome::Lost));
    CHECK(result.connection != number);
    CHECK(sender.finish(after).hasStatus(200));
    CHECK(peer.count("/bound") == 0);
    CHECK(peer.count("/wait") == (isRepeated ? 2 : 1));
}

// Guards against a command whose sender has given it up while it waited.
TEST_CASE("a bound request whose time passes while its connection is busy is not sent", "[bound]")
{
    Link link;
    const auto number = link.sender.send("/first", 0).connection;
    const auto busy = link.sender.begin("/wait", number);
    const auto bound = link.sender.begin("/bound", number, true, Milliseconds(50));
    REQUIRE(link.sender.runUntil([&link] { return link.peer.open.size() == 1; }));
    link.loop.after(Milliseconds(100), [&link] { link.peer.open.front()->reply({ 200, {}, {} }); });
    CHECK(link.sender.finish(busy).hasStatus(200));
    const auto result = link.sender.finish(bound);
    CHECK(result.outcome == SendOutcome::NotSent);
    CHECK_FALSE(result.isConnectionClosed);
    CHECK(link.peer.count("/bound") == 0);
}
