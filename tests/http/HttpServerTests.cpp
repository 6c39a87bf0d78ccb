#include "core/Failure.h"
#include "http/HttpClient.h"
#include "http/HttpServer.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace auburndoor;

namespace {

constexpr Milliseconds callTimeout { 10'000 };

std::optional<HttpReply> post(HttpClient &client, const std::string &path, const std::string &body, Failure &failure)
{
    Delivery delivery = Delivery::NotSent;
    return client.exchange("POST", path, body, {}, callTimeout, false, delivery, failure);
}

} // namespace

TEST_CASE("callers that connect at the same moment are all answered without retransmitted SYNs", "[http]")
{
    // Guards against cpp-httplib's listen backlog of 5: the kernel drops further SYNs, and those callers wait 1 s or more.
    HttpServerOptions options;
    options.threadCount = 64;
    HttpServer server(options);
    server.route("POST", "/echo", [](const HttpRequest &request) { return HttpReply { 200, request.body, "text/plain", {} }; });
    Failure failure;
    const auto port = server.bind(failure);
    REQUIRE(port);
    server.start();

    constexpr int callerCount = 64;
    std::atomic<int> readyCallers = 0;
    std::atomic<int> answered = 0;
    std::vector<std::chrono::steady_clock::duration> durations(callerCount);
    std::vector<std::thread> callers;
    for (int index = 0; index < callerCount; ++index) {
        callers.emplace_back([&, index] {
            HttpClient client("127.0.0.1:" + std::to_string(*port), 1);
            ++readyCallers;
            while (readyCallers < callerCount) {
                std::this_thread::yield();
            }
            const auto start = std::chrono::steady_clock::now();
            Failure callFailure;
            const auto reply = post(client, "/echo", "caller " + std::to_string(index), callFailure);
            durations[index] = std::chrono::steady_clock::now() - start;
            answered += reply && reply->body == "caller " + std::to_string(index) ? 1 : 0;
        });
    }
    for (auto &caller : callers) {
        caller.join();
    }
    std::sort(durations.begin(), durations.end());
    CHECK(answered == callerCount);
    // A retransmitted SYN costs at least 1 s.
    CHECK(durations[callerCount / 2] < std::chrono::milliseconds(900));
}

TEST_CASE("connections over the limit on waiting connections are answered by the overflow handler at once", "[http]")
{
    // Guards against callers that wait until their own timeout while all threads are occupied.
    HttpServerOptions options;
    options.threadCount = 1;
    options.waitingConnectionLimit = 1;
    HttpServer server(options);
    std::atomic<bool> isHandlerRunning = false;
    std::atomic<bool> mayHandlerReturn = false;
    std::atomic<long long> longestWaitMs = 0;
    server.route("POST", "/hold", [&](const HttpRequest &request) {
        longestWaitMs = std::max(longestWaitMs.load(), static_cast<long long>(request.waited.count()));
        isHandlerRunning = true;
        while (!mayHandlerReturn) {
            std::this_thread::yield();
        }
        return HttpReply {};
    });
    server.setOverflowHandler([](const HttpRequest &) { return HttpReply { 503, "full", "text/plain", {} }; });
    Failure failure;
    const auto port = server.bind(failure);
    REQUIRE(port);
    server.start();
    const auto address = "127.0.0.1:" + std::to_string(*port);
    std::atomic<int> refused = 0;
    std::vector<std::thread> callers;
    const auto call = [&] {
        HttpClient client(address, 1);
        Failure callFailure;
        const auto reply = post(client, "/hold", "{}", callFailure);
        refused += reply && reply->status == 503 ? 1 : 0;
    };
    callers.emplace_back(call);
    while (!isHandlerRunning) {
        std::this_thread::yield();
    }
    for (int index = 0; index < 4; ++index) {
        callers.emplace_back(call);
    }
    while (refused < 3) {
        std::this_thread::yield();
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    mayHandlerReturn = true;
    for (auto &caller : callers) {
        caller.join();
    }
    CHECK(refused == 3);
    // One connection waited for the thread. Its request must report that wait, or the time is missing from the caller's deadline.
    CHECK(longestWaitMs >= 50);
}

TEST_CASE("a body over the limit and an unknown path are answered by the error handler", "[http]")
{
    HttpServerOptions options;
    options.maxBodyBytes = 10;
    HttpServer server(options);
    server.route("POST", "/echo", [](const HttpRequest &request) { return HttpReply { 200, request.body, "text/plain", {} }; });
    server.setErrorHandler([](const HttpRequest &, int status) {
        return HttpReply { status, "status " + std::to_string(status), "text/plain", {} };
    });
    Failure failure;
    const auto port = server.bind(failure);
    REQUIRE(port);
    server.start();
    HttpClient client("127.0.0.1:" + std::to_string(*port), 1);
    const auto large = post(client, "/echo", std::string(100, 'x'), failure);
    REQUIRE(large);
    CHECK(large->status == 413);
    HttpClient secondClient("127.0.0.1:" + std::to_string(*port), 1);
    const auto missing = post(secondClient, "/missing", "x", failure);
    REQUIRE(missing);
    CHECK(missing->body == "status 404");
}

TEST_CASE("an error handler that throws ends neither the process nor the answer", "[http]")
{
    // Guards against a request that ends the process: cpp-httplib calls the error handler outside of its own try block.
    HttpServer server { HttpServerOptions() };
    server.setErrorHandler([](const HttpRequest &, int) -> HttpReply { throw std::runtime_error("handler failed"); });
    Failure failure;
    const auto port = server.bind(failure);
    REQUIRE(port);
    server.start();
    HttpClient client("127.0.0.1:" + std::to_string(*port), 1);
    const auto reply = post(client, "/missing", "x", failure);
    REQUIRE(reply);
    CHECK(reply->status == 404);
}

TEST_CASE("an answer is not multiplied by the ranges that a request names", "[http]")
{
    // Guards against a process that runs out of memory: 8 KB of header name 2,000 ranges, each a copy of the answer.
    HttpServer server { HttpServerOptions() };
    server.route("GET", "/large", [](const HttpRequest &) { return HttpReply { 200, std::string(1000, 'x'), "text/plain", {} }; });
    Failure failure;
    const auto port = server.bind(failure);
    REQUIRE(port);
    server.start();
    std::string ranges = "bytes=0-999";
    while (ranges.size() < 8000) {
        ranges += ",0-999";
    }
    HttpClient client("127.0.0.1:" + std::to_string(*port), 1);
    Delivery delivery = Delivery::NotSent;
    const auto reply = client.exchange("GET", "/large", {}, { { "Range", ranges } }, callTimeout, false, delivery, failure);
    REQUIRE(reply);
    CHECK(reply->status == 200);
    CHECK(reply->body.size() == 1000);
}

namespace {

/** A server that answers one request, reads a second one on the same connection, and closes its sockets without an answer. */
class DisconnectingServer
{
public:
    DisconnectingServer()
    {
        listener_ = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof address;
        if (bind(listener_, reinterpret_cast<sockaddr *>(&address), length) != 0) {
            throw std::runtime_error("cannot bind to a loopback port");
        }
        listen(listener_, 1);
        getsockname(listener_, reinterpret_cast<sockaddr *>(&address), &length);
        port_ = ntohs(address.sin_port);
        thread_ = std::thread([this] { serve(); });
    }

    ~DisconnectingServer()
    {
        thread_.join();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(port_);
    }

private:
    void serve() const
    {
        const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: keep-alive\r\n\r\n";
        char buffer[4096];
        const auto connection = accept(listener_, nullptr, nullptr);
        recv(connection, buffer, sizeof buffer, 0);
        send(connection, answer.data(), answer.size(), 0);
        recv(connection, buffer, sizeof buffer, 0);
        close(listener_);
        close(connection);
    }

    int listener_ = -1;
    int port_ = 0;
    std::thread thread_;
};

} // namespace

TEST_CASE("a repeated request whose first attempt may have arrived is not reported as NotSent", "[http]")
{
    // Guards against NotSent when the first attempt lost its connection after sending and the second could not connect.
    DisconnectingServer server;
    HttpClient client(server.address(), 1);
    Delivery delivery = Delivery::NotSent;
    Failure failure;
    REQUIRE(client.exchange("GET", "/order", {}, {}, callTimeout, true, delivery, failure));
    CHECK_FALSE(client.exchange("GET", "/order", {}, {}, callTimeout, true, delivery, failure));
    CHECK(failure.reason == FailureReason::ConnectionFailed);
    CHECK(delivery == Delivery::MaybeSent);
}
