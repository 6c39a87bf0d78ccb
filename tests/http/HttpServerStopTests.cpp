#include "core/Failure.h"
#include "fakes/RawConnection.h"
#include "http/HttpServer.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <memory>
#include <stdexcept>
#include <thread>
#include <vector>

using namespace auburndoor;

namespace {

constexpr std::chrono::milliseconds answerLimit { 5000 };

/** A server with routes that answer, fail, and wait until the test lets them answer. */
struct StoppableServer
{
    explicit StoppableServer(const HttpServerOptions &options) : server(options)
    {
        server.route("POST", "/echo", [](const HttpRequest &request) { return HttpReply { 200, request.body, "text/plain", {} }; });
        server.route("GET", "/value", [](const HttpRequest &) { return HttpReply { 200, "value", "text/plain", {} }; });
        server.route("POST", "/throw", [](const HttpRequest &) -> HttpReply { throw std::runtime_error("handler failed"); });
        server.route("POST", "/hold", [this](const HttpRequest &request) {
            ++heldRequests;
            isReleased.wait(false);
            return HttpReply { 200, request.body, "text/plain", {} };
        });
        server.setErrorHandler([](const HttpRequest &, int status) { return HttpReply { status, "error", "text/plain", {} }; });
        Failure failure;
        port = server.bind(failure).value_or(0);
        REQUIRE(port > 0);
        server.start();
    }

    ~StoppableServer()
    {
        release();
    }

    void waitForHeldRequests(int count) const
    {
        while (heldRequests < count) {
            std::this_thread::yield();
        }
    }

    void release()
    {
        isReleased = true;
        isReleased.notify_all();
    }

    std::atomic<int> heldRequests = 0;
    std::atomic<bool> isReleased = false;
    HttpServer server;
    int port = 0;
};

} // namespace

TEST_CASE("each answer of a draining server announces the end of the connection and ends it", "[http]")
{
    // Guards against refusals without "Connection: close": the client sends its next request while the server closes the
    // connection.
    HttpServerOptions options;
    options.maxBodyBytes = 100;
    StoppableServer stoppable(options);
    stoppable.server.setDraining();
    const auto [path, body] = GENERATE(table<std::string, std::string>(
        { { "/echo", "text" }, { "/missing", "text" }, { "/echo", std::string(1000, 'x') }, { "/throw", "text" } }));
    CAPTURE(path, body.size());
    RawConnection connection(stoppable.port);
    REQUIRE(connection.sendRequest("POST", path, body));
    const auto answer = connection.readAnswer(answerLimit);
    REQUIRE(answer);
    INFO(*answer);
    CHECK(RawConnection::announcesClose(*answer));
    // Shorter than the keep-alive timeout, after which an idle connection is closed in any case.
    CHECK(connection.waitForClose(std::chrono::milliseconds(2500)));
}

TEST_CASE("requests on connections that wait for a thread when the server stops are answered", "[http]")
{
    // Guards against a stop that closes accepted connections unserved: their requests were sent and get no answer.
    constexpr int waitingCount = 20;
    HttpServerOptions options;
    options.threadCount = 1;
    options.waitingConnectionLimit = waitingCount;
    StoppableServer stoppable(options);
    RawConnection first(stoppable.port);
    REQUIRE(first.sendRequest("POST", "/hold", "first"));
    stoppable.waitForHeldRequests(1);
    std::vector<std::unique_ptr<RawConnection>> waiting;
    for (int index = 0; index < waitingCount; ++index) {
        waiting.push_back(std::make_unique<RawConnection>(stoppable.port));
        REQUIRE(waiting.back()->sendRequest("POST", "/echo", "waiting"));
    }
    // Connections are accepted in order: once one over the limit has been refused, all those before it wait for the thread.
    RawConnection overLimit(stoppable.port);
    REQUIRE(overLimit.sendRequest("POST", "/echo", "over the limit"));
    REQUIRE(overLimit.readAnswer(answerLimit));
    stoppable.server.setDraining();
    std::thread stopThread([&] { stoppable.server.stop(); });
    // The thread becomes free only after the listener has been closed or the server has stopped reading in another way.
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    stoppable.release();
    int answered = 0;
    int announced = 0;
    const auto firstAnswer = first.readAnswer(answerLimit);
    for (const auto &connection : waiting) {
        const auto answer = connection->readAnswer(answerLimit);
        answered += answer ? 1 : 0;
        announced += answer && RawConnection::announcesClose(*answer) ? 1 : 0;
    }
    stopThread.join();
    REQUIRE(firstAnswer);
    CHECK(RawConnection::announcesClose(*firstAnswer));
    CHECK(answered == waitingCount);
    CHECK(announced == waitingCount);
}

TEST_CASE("kept connections used all the time through a stop lose no request", "[http]")
{
    // Guards against a connection that ends without notice between two requests: the request sent at that moment gets no answer.
    constexpr int rounds = 30;
    constexpr std::size_t clientCount = 8;
    std::atomic<int> answered = 0;
    std::atomic<int> cut = 0;
    for (int round = 0; round < rounds; ++round) {
        StoppableServer stoppable { HttpServerOptions() };
        std::atomic<std::size_t> activeClients = 0;
        std::vector<std::thread> clients;
        for (std::size_t index = 0; index < clientCount; ++index) {
            clients.emplace_back([&] {
                RawConnection connection(stoppable.port);
                bool isAnnounced = false;
                for (int count = 0; !isAnnounced; ++count) {
                    activeClients += count == 1 ? 1 : 0;
                    const auto isSent = connection.sendRequest("POST", "/echo", "text");
                    const auto answer = isSent ? connection.readAnswer(answerLimit) : std::nullopt;
                    ++(answer ? answered : cut);
                    isAnnounced = !answer || RawConnection::announcesClose(*answer);
                }
            });
        }
        while (activeClients < clientCount) {
            std::this_thread::yield();
        }
        stoppable.server.stop();
        for (auto &client : clients) {
            client.join();
        }
    }
    INFO(answered << " requests answered in " << rounds << " stops");
    CHECK(cut == 0);
}

TEST_CASE("connections opened all the time through a stop lose no request", "[http]")
{
    // Guards against the reset of connections that the kernel has established and the listener has not accepted when it is closed.
    constexpr int rounds = 3;
    constexpr int clientCount = 24;
    std::atomic<int> answered = 0;
    std::atomic<int> cut = 0;
    for (int round = 0; round < rounds; ++round) {
        StoppableServer stoppable { HttpServerOptions() };
        const auto answeredBefore = answered.load();
        std::vector<std::thread> clients;
        for (int index = 0; index < clientCount; ++index) {
            clients.emplace_back([&] {
                for (auto isRefused = false; !isRefused;) {
                    RawConnection connection(stoppable.port);
                    isRefused = !connection.isOpen();
                    if (!isRefused) {
                        const auto isSent = connection.sendRequest("POST", "/echo", "text");
                        ++(isSent && connection.readAnswer(answerLimit) ? answered : cut);
                    }
                }
            });
        }
        while (answered < answeredBefore + 10 * clientCount) {
            std::this_thread::yield();
        }
        stoppable.server.stop();
        for (auto &client : clients) {
            client.join();
        }
    }
    INFO(answered << " requests answered in " << rounds << " stops");
    CHECK(cut == 0);
}

TEST_CASE("requests sent together on one connection are all answered", "[http]")
{
    // Guards against input that is read with one request and dropped: the request in it gets no answer.
    StoppableServer stoppable { HttpServerOptions() };
    RawConnection connection(stoppable.port);
    const std::string request = "POST /echo HTTP/1.1\r\nHost: test\r\nContent-Length: 1\r\n\r\n";
    REQUIRE(connection.send(request + "a" + request + "b" + request + "c"));
    for (const std::string body : { "a", "b", "c" }) {
        const auto answer = connection.readAnswer(answerLimit);
        REQUIRE(answer);
        CHECK(answer->ends_with("\r\n\r\n" + body));
    }
}

TEST_CASE("input that is not read with its request is not taken for the next request", "[http]")
{
    // Guards against the execution of a request hidden in the body of a GET, or in the rest of a malformed message.
    const std::string hidden = "POST /echo HTTP/1.1\r\nHost: test\r\nContent-Length: 6\r\n\r\nhidden";
    const auto message = GENERATE_COPY("GET /value HTTP/1.1\r\nHost: test\r\nContent-Length: " + std::to_string(hidden.size())
                                           + "\r\n\r\n" + hidden,
                                       "malformed\r\n\r\n" + hidden);
    StoppableServer stoppable { HttpServerOptions() };
    RawConnection connection(stoppable.port);
    REQUIRE(connection.send(message));
    const auto answer = connection.readAnswer(answerLimit);
    REQUIRE(answer);
    INFO(*answer);
    CHECK(RawConnection::announcesClose(*answer));
    CHECK(connection.waitForClose(std::chrono::milliseconds(2500)));
}
