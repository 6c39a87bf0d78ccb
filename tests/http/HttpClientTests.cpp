#include "core/Failure.h"
#include "http/HttpClient.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <thread>

using namespace auburndoor;

namespace {

/** Accepts one connection, reads one request, sends a fixed reply and closes the connection. Records the bytes that it read. */
class FixedReplyServer
{
public:
    explicit FixedReplyServer(std::string reply) : reply_(std::move(reply)), listener_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        REQUIRE(::bind(listener_, reinterpret_cast<sockaddr *>(&address), size) == 0);
        REQUIRE(::listen(listener_, 1) == 0);
        REQUIRE(::getsockname(listener_, reinterpret_cast<sockaddr *>(&address), &size) == 0);
        port_ = ntohs(address.sin_port);
    }

    ~FixedReplyServer()
    {
        ::close(listener_);
    }

    /** Starts the thread that serves the connection. @param endOfRequest the bytes with which the request ends */
    void start(const std::string &endOfRequest)
    {
        thread_ = std::thread([this, endOfRequest] {
            const int connection = ::accept(listener_, nullptr, nullptr);
            char bytes[4096];
            while (!received_.ends_with(endOfRequest)) {
                const auto count = ::recv(connection, bytes, sizeof(bytes), 0);
                if (count <= 0) {
                    break;
                }
                received_.append(bytes, static_cast<std::size_t>(count));
            }
            ::send(connection, reply_.data(), reply_.size(), MSG_NOSIGNAL);
            ::close(connection);
        });
    }

    /** Waits for the thread. @return all bytes of the request */
    const std::string &join()
    {
        thread_.join();
        return received_;
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(port_);
    }

private:
    const std::string reply_;
    int listener_;
    int port_ = 0;
    std::string received_;
    std::thread thread_;
};

} // namespace

TEST_CASE("exchangedBytes is the number of bytes sent and received on the connection", "[http]")
{
    // Guards against a traffic count that misses the headers which cpp-httplib adds: they are half of a small message.
    const std::string reply = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 13\r\n\r\n{\"done\":true}";
    const auto method = GENERATE(std::string("POST"), std::string("GET"), std::string("PUT"));
    const std::string body = method == "GET" ? "" : "{\"value\":1}";
    const std::map<std::string, std::string> headers { { "Authorization", "Bearer token" } };
    FixedReplyServer server(reply);
    server.start(body.empty() ? "\r\n\r\n" : body);
    HttpClient client(server.address(), 1);
    Delivery delivery = Delivery::NotSent;
    Failure failure;
    const auto received = client.exchange(method, "/v1/path?a=1", body, headers, Milliseconds(5000), false, delivery, failure);
    const auto request = server.join();
    REQUIRE(received);
    CHECK(received->body == "{\"done\":true}");
    INFO(request);
    CHECK(received->exchangedBytes == request.size() + reply.size());
}
