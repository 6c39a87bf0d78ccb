#include "core/Failure.h"
#include "http/HttpServer.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace auburndoor;

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr Milliseconds readTimeout { 200 };
constexpr Milliseconds sendInterval { 50 };

/** Sends the body of a request byte by byte until it is told to end or its connection ends. */
void sendSlowly(int port, const std::atomic<bool> &mustEnd)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0) {
        const std::string head = "POST /echo HTTP/1.1\r\nContent-Length: 100000\r\n\r\n";
        auto sent = ::send(socket, head.data(), head.size(), MSG_NOSIGNAL);
        while (sent > 0 && !mustEnd) {
            std::this_thread::sleep_for(sendInterval);
            sent = ::send(socket, "x", 1, MSG_NOSIGNAL);
        }
    }
    ::close(socket);
}

} // namespace

// Guards against a stop without a bound: the read timeout holds for each piece of a request, so that a caller that sends its body
// byte by byte keeps a thread, and with it the process, for as long as it likes.
TEST_CASE("a caller that sends its request byte by byte does not hold up a stop", "[http]")
{
    constexpr Milliseconds callerDuration { 4000 };
    HttpServerOptions options;
    options.readTimeout = readTimeout;
    options.keepAliveTimeout = std::chrono::seconds(1);
    HttpServer server(options);
    server.route("POST", "/echo", [](const HttpRequest &request) { return HttpReply { 200, request.body, "text/plain", {} }; });
    Failure failure;
    const auto port = server.bind(failure);
    REQUIRE(port);
    server.start();
    std::atomic<bool> mustEnd = false;
    std::thread caller([&] { sendSlowly(*port, mustEnd); });
    std::thread limit([&] {
        std::this_thread::sleep_for(callerDuration);
        mustEnd = true;
    });
    std::this_thread::sleep_for(sendInterval * 4);
    server.setDraining();
    const auto start = SteadyClock::now();
    server.stop();
    const auto duration = std::chrono::duration_cast<Milliseconds>(SteadyClock::now() - start);
    limit.join();
    caller.join();
    CHECK(duration.count() < callerDuration.count() / 2);
}
