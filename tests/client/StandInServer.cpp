#include "client/StandInServer.h"

#include "core/Failure.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace auburndoor {

namespace {

/** Binds a socket to a free port of the loopback address. @param address receives "ip:port" */
int bindSocket(std::string &address)
{
    const auto socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in name {};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof name;
    if (::bind(socket, reinterpret_cast<sockaddr *>(&name), length) != 0
        || ::getsockname(socket, reinterpret_cast<sockaddr *>(&name), &length) != 0) {
        throw std::runtime_error("cannot bind a socket");
    }
    address = "127.0.0.1:" + std::to_string(ntohs(name.sin_port));
    return socket;
}

} // namespace

FixedReplyServer::FixedReplyServer(int status, const std::string &body) : server_(HttpServerOptions {})
{
    const auto handle = [this, status, body](const HttpRequest &received) {
        request = received;
        return HttpReply { status, body, "application/json", {} };
    };
    server_.route("GET", "/.*", handle);
    server_.route("POST", "/.*", handle);
    Failure failure;
    const auto port = server_.bind(failure);
    address = "127.0.0.1:" + std::to_string(port.value());
    server_.start();
}

ClosingServer::ClosingServer() : socket_(bindSocket(address))
{
    if (::listen(socket_, 4) != 0) {
        throw std::runtime_error("cannot listen");
    }
    thread_ = std::thread([this] {
        const auto connection = ::accept(socket_, nullptr, nullptr);
        char buffer[1024];
        if (::read(connection, buffer, sizeof buffer) >= 0) {
            ::close(connection);
        }
    });
}

ClosingServer::~ClosingServer()
{
    // Unblocks the thread if it still waits for a connection.
    ::shutdown(socket_, SHUT_RDWR);
    thread_.join();
    ::close(socket_);
}

std::string unusedAddress()
{
    std::string address;
    ::close(bindSocket(address));
    return address;
}

} // namespace auburndoor
