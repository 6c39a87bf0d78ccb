// Asio 1.74 uses std::exchange without including <utility>.
#include <utility>

#include "fakes/RawConnection.h"
#include "net/ConnectionMemory.h"
#include "net/EventLoop.h"
#include "net/EvictionOrder.h"
#include "net/HttpListener.h"

#include <catch2/catch.hpp>

#include <list>

using namespace auburndoor;

namespace {

constexpr std::size_t kibibyte = 1024;

/** A listener with a budget, whose handler keeps the responders of POST requests. Its clients are used between turns of the loop.
 */
struct BudgetFixture
{
    explicit BudgetFixture(HttpListenerLimits limits = {}, std::size_t capacity = 1000 * kibibyte)
        : memory(std::make_shared<ConnectionMemory>(capacity))
        , listener(
              loop,
              limits,
              [this](const WebRequest &request, HttpResponderPointer responder) {
                  ++handled;
                  if (request.method == "POST") {
                      held.push_back(std::move(responder));
                  } else {
                      responder->reply({});
                  }
              },
              memory)
    {
        std::string error;
        REQUIRE(listener.listen({ "127.0.0.1", 0 }, error));
    }

    void runFor(Milliseconds duration)
    {
        loop.after(duration, [this] { loop.stop(); });
        loop.run();
    }

    RawConnection &connect()
    {
        return clients.emplace_back(listener.port());
    }

    /** What has arrived at a client, once the loop has run for a while. */
    std::string answerTo(RawConnection &client)
    {
        runFor(Milliseconds(100));
        return client.readAnswer(Milliseconds(0)).value_or("");
    }

    std::size_t used() const
    {
        return memory->used(ConnectionPurpose::Clients);
    }

    EventLoop loop;
    std::shared_ptr<ConnectionMemory> memory;
    int handled = 0;
    std::list<HttpResponderPointer> held;
    HttpListener listener;
    std::list<RawConnection> clients;
};

std::string announce(std::size_t length)
{
    return "POST /x HTTP/1.1\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

} // namespace

// Guards against one kind of connection taking what another one needs.
TEST_CASE("large requests leave a part of the budget to small ones, and each purpose has its own part")
{
    ConnectionMemory memory(1000);
    CHECK(memory.capacity(ConnectionPurpose::Clients) == 600);
    CHECK(memory.tryTake(ConnectionPurpose::Clients, 450, false));
    CHECK_FALSE(memory.tryTake(ConnectionPurpose::Clients, 1, false));
    CHECK(memory.tryTake(ConnectionPurpose::Clients, 150, true));
    CHECK_FALSE(memory.tryTake(ConnectionPurpose::Clients, 1, true));
    CHECK(memory.tryTake(ConnectionPurpose::Peers, 200, false));
    CHECK(memory.tryTake(ConnectionPurpose::Control, 60, true));
    memory.release(ConnectionPurpose::Clients, 600);
    CHECK(memory.used() == 260);
}

// Guards against a heap that is trimmed for each connection, or never.
TEST_CASE("a fall of what is used is told once until the memory was released")
{
    ConnectionMemory memory(100 << 20);
    int falls = 0;
    memory.onFallen = [&falls] { ++falls; };
    memory.take(ConnectionPurpose::Clients, 10 << 20);
    memory.release(ConnectionPurpose::Clients, 4 << 20);
    CHECK(falls == 0);
    memory.release(ConnectionPurpose::Clients, 2 << 20);
    memory.release(ConnectionPurpose::Clients, 2 << 20);
    CHECK(falls == 1);
    memory.noteReleased();
    memory.release(ConnectionPurpose::Clients, 2 << 20);
    CHECK(falls == 2);
    memory.noteReleased();
    for (int number = 0; number < 100; ++number) {
        memory.take(ConnectionPurpose::Clients, 100 << 10);
        memory.release(ConnectionPurpose::Clients, 100 << 10);
    }
    CHECK(falls == 3);
}

// Guards against ordinary requests being closed for a crowd.
TEST_CASE("the largest requests that have been arriving for long are closed first, kept connections last, young ones never")
{
    const Milliseconds old { 5000 };
    const std::vector<EvictionCandidate> candidates {
        { 0, 900, old, true }, { 1, 10, old, false }, { 2, 50, old, false }, { 3, 800, Milliseconds(10), false }
    };
    CHECK(EvictionOrder::choose(candidates, true, 400, 4) == std::vector<std::size_t> { 2 });
    CHECK(EvictionOrder::choose(candidates, true, 480, 4) == std::vector<std::size_t> { 2, 1 });
    CHECK(EvictionOrder::choose(candidates, true, 8000, 4) == std::vector<std::size_t> { 2, 1, 0 });
    CHECK(EvictionOrder::choose(candidates, false, 8000, 4) == std::vector<std::size_t> { 1 });
}

// Guards against clients that take memory by announcing bodies.
TEST_CASE("an announced body takes memory only as it arrives")
{
    BudgetFixture fixture;
    auto &client = fixture.connect();
    client.send(announce(900 * kibibyte));
    fixture.runFor(Milliseconds(100));
    CHECK(fixture.used() < 8 * kibibyte);
}

// Guards against refusals that are not true, and against a crowd of large requests keeping out small ones.
TEST_CASE("requests beyond the budget are refused before they run, and small ones are still served")
{
    BudgetFixture fixture;
    for (int number = 0; number < 20; ++number) {
        fixture.connect().send(announce(64 * kibibyte) + std::string(60 * kibibyte, 'x'));
        fixture.runFor(Milliseconds(10));
    }
    CHECK(fixture.used() <= fixture.memory->capacity(ConnectionPurpose::Clients));
    const auto refusal = fixture.answerTo(fixture.clients.back());
    CHECK(refusal.starts_with("HTTP/1.1 503 "));
    CHECK(refusal.find("\r\nRetry-After: 1\r\n") != std::string::npos);
    CHECK(fixture.handled == 0);
    CHECK(fixture.memory->refusals.requests > 0);
    auto &small = fixture.connect();
    small.sendRequest("GET", "/");
    CHECK(fixture.answerTo(small).starts_with("HTTP/1.1 200 "));
    fixture.clients.clear();
    fixture.runFor(Milliseconds(100));
    CHECK(fixture.used() == 0);
}

// Guards against a crowd of small requests that keeps out all others until its time is over.
TEST_CASE("small requests that have been arriving for long make room for further ones")
{
    BudgetFixture fixture({}, 200 * kibibyte);
    const auto sendPart = [&fixture] { fixture.connect().send(announce(8000) + std::string(6000, 'x')); };
    for (int number = 0; number < 40; ++number) {
        sendPart();
    }
    fixture.runFor(EvictionOrder::minimumAge + Milliseconds(100));
    sendPart();
    auto &small = fixture.connect();
    small.sendRequest("GET", "/");
    CHECK(fixture.answerTo(small).starts_with("HTTP/1.1 200 "));
    CHECK(fixture.memory->refusals.evictions > 0);
}

// Guards against requests that a handler has and that no budget counts.
TEST_CASE("a request counts against the budget until it is answered")
{
    BudgetFixture fixture;
    fixture.connect().send(announce(20 * kibibyte) + std::string(20 * kibibyte, 'x'));
    fixture.runFor(Milliseconds(100));
    REQUIRE(fixture.held.size() == 1);
    CHECK(fixture.used() > 60 * kibibyte);
    fixture.held.front()->reply({});
    fixture.held.clear();
    fixture.runFor(Milliseconds(50));
    CHECK(fixture.used() < 8 * kibibyte);
}

// Guards against clients that keep a connection by sending a byte now and then.
TEST_CASE("a request that arrives too slowly is closed, although it is never idle")
{
    HttpListenerLimits limits;
    limits.headerTimeout = Milliseconds(200);
    BudgetFixture fixture(limits);
    auto &client = fixture.connect();
    client.send("GET / HTTP/1.1\r\n");
    bool isOpen = true;
    for (int number = 0; number < 20 && isOpen; ++number) {
        fixture.runFor(Milliseconds(50));
        isOpen = client.send("a: b\r\n") && fixture.listener.openConnections() > 0;
    }
    CHECK_FALSE(isOpen);
    CHECK(fixture.memory->refusals.slowSenders == 1);
}

// Guards against bodies that are read although their headers decide.
TEST_CASE("a request that its headers decide is answered before its body has arrived")
{
    BudgetFixture fixture;
    fixture.listener.setHeaderCheck([](const WebRequest &request) {
        return request.target == "/x" ? std::optional(WebReply { 404, {}, {} }) : std::nullopt;
    });
    auto &client = fixture.connect();
    client.send(announce(64 * kibibyte) + std::string(10, 'x'));
    CHECK(fixture.answerTo(client).starts_with("HTTP/1.1 404 "));
    CHECK(fixture.handled == 0);
}
