#include "peer/FramedSocket.h"

#include "core/Failure.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <memory>
#include <system_error>
#include <utility>

namespace auburndoor {

namespace {

constexpr std::size_t headerSize = 4;
constexpr int listenBacklog = 1024;

using Addresses = std::unique_ptr<addrinfo, decltype(&freeaddrinfo)>;

std::string errorText(int error)
{
    return std::generic_category().message(error);
}

void fail(Failure &failure, FailureReason reason, const std::string &message)
{
    failure.reason = reason;
    failure.message = message;
}

Addresses resolve(const std::string &ip, const std::string &port, bool isPassive)
{
    addrinfo hints {};
    hints.ai_socktype = SOCK_STREAM;
    hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV | (isPassive ? AI_PASSIVE : 0);
    addrinfo *found = nullptr;
    if (getaddrinfo(ip.c_str(), port.c_str(), &hints, &found) != 0) {
        found = nullptr;
    }
    return { found, &freeaddrinfo };
}

Addresses resolve(const std::string &address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return { nullptr, &freeaddrinfo };
    }
    auto ip = address.substr(0, colon);
    if (ip.starts_with('[') && ip.ends_with(']')) {
        ip = ip.substr(1, ip.size() - 2);
    }
    return resolve(ip, address.substr(colon + 1), false);
}

/** Waits for an event until the deadline. @return false if the time has passed */
bool waitFor(int descriptor, short events, TimePoint deadline)
{
    while (true) {
        const auto rest = std::chrono::ceil<Milliseconds>(deadline - std::chrono::steady_clock::now());
        pollfd item { descriptor, events, 0 };
        const auto count = ::poll(&item, 1, static_cast<int>(std::clamp<long long>(rest.count(), 0, 3'600'000)));
        if (count > 0) {
            return true;
        }
        if (count == 0 && rest.count() <= 3'600'000) {
            return false;
        }
    }
}

void setOptions(int descriptor)
{
    const int on = 1;
    // Frames are sent whole; waiting for more bytes would only delay them.
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) | O_NONBLOCK);
}

} // namespace

FramedSocket::FramedSocket(int descriptor) : descriptor_(descriptor)
{
    setOptions(descriptor_);
}

FramedSocket::~FramedSocket()
{
    if (descriptor_ >= 0) {
        ::close(descriptor_);
    }
}

FramedSocket::FramedSocket(FramedSocket &&other) noexcept : descriptor_(std::exchange(other.descriptor_, -1))
{
}

FramedSocket &FramedSocket::operator=(FramedSocket &&other) noexcept
{
    std::swap(descriptor_, other.descriptor_);
    return *this;
}

std::optional<FramedSocket> FramedSocket::connect(const std::string &address, Milliseconds timeout, Failure &failure)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    const auto resolved = resolve(address);
    if (!resolved) {
        fail(failure, FailureReason::MalformedInput, "\"" + address + "\" is not of the form ip:port");
        return std::nullopt;
    }
    const int descriptor = ::socket(resolved->ai_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (descriptor < 0) {
        fail(failure, FailureReason::ConnectionFailed, errorText(errno));
        return std::nullopt;
    }
    FramedSocket socket(descriptor);
    if (::connect(descriptor, resolved->ai_addr, resolved->ai_addrlen) == 0) {
        return socket;
    }
    int error = errno;
    if (error == EINPROGRESS) {
        if (!waitFor(descriptor, POLLOUT, deadline)) {
            fail(failure, FailureReason::TimedOut, "the connection was not established in time");
            return std::nullopt;
        }
        socklen_t size = sizeof(error);
        ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error == 0) {
            return socket;
        }
    }
    fail(failure, FailureReason::ConnectionFailed, errorText(error));
    return std::nullopt;
}

int FramedSocket::listen(const std::string &ip, int &port, Failure &failure)
{
    const auto resolved = resolve(ip, std::to_string(port), true);
    if (!resolved) {
        fail(failure, FailureReason::MalformedInput, "\"" + ip + "\" is not an IP address");
        return -1;
    }
    const int descriptor = ::socket(resolved->ai_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_storage bound {};
    socklen_t size = sizeof(bound);
    auto *boundAddress = reinterpret_cast<sockaddr *>(&bound);
    if (descriptor < 0 || ::bind(descriptor, resolved->ai_addr, resolved->ai_addrlen) != 0
        || ::listen(descriptor, listenBacklog) != 0 || ::getsockname(descriptor, boundAddress, &size) != 0) {
        fail(failure,
             FailureReason::ConnectionFailed,
             "cannot listen on " + ip + ":" + std::to_string(port) + ": " + errorText(errno));
        ::close(descriptor);
        return -1;
    }
    port = ntohs(bound.ss_family == AF_INET6 ? reinterpret_cast<sockaddr_in6 *>(&bound)->sin6_port
                                             : reinterpret_cast<sockaddr_in *>(&bound)->sin_port);
    return descriptor;
}

bool FramedSocket::send(const std::string &payload, Milliseconds timeout, Failure &failure)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    const auto length = htonl(static_cast<std::uint32_t>(payload.size()));
    std::string frame(reinterpret_cast<const char *>(&length), headerSize);
    frame += payload;
    std::size_t sent = 0;
    while (sent < frame.size()) {
        const auto count = ::send(descriptor_, frame.data() + sent, frame.size() - sent, MSG_NOSIGNAL);
        if (count >= 0) {
            sent += static_cast<std::size_t>(count);
        } else if (errno == EAGAIN) {
            if (!waitFor(descriptor_, POLLOUT, deadline)) {
                fail(failure, FailureReason::TimedOut, "the message could not be sent in time");
                return false;
            }
        } else if (errno != EINTR) {
            fail(failure, FailureReason::ConnectionLost, errorText(errno));
            return false;
        }
    }
    return true;
}

bool FramedSocket::waitReadable(Milliseconds timeout) const
{
    return waitFor(descriptor_, POLLIN, std::chrono::steady_clock::now() + timeout);
}

std::optional<std::string> FramedSocket::receive(std::size_t limit, Milliseconds timeout, Failure &failure)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    std::uint32_t length = 0;
    if (!receiveAll(reinterpret_cast<char *>(&length), headerSize, deadline, failure)) {
        return std::nullopt;
    }
    length = ntohl(length);
    if (length > limit) {
        fail(failure, FailureReason::TooLarge, "a frame of " + std::to_string(length) + " bytes exceeds " + std::to_string(limit));
        return std::nullopt;
    }
    // The buffer grows with the bytes that arrive, so that a length alone reserves no memory.
    constexpr std::size_t step = 65'536;
    std::string payload;
    while (payload.size() < length) {
        const auto had = payload.size();
        payload.resize(std::min<std::size_t>(length, had + std::max(step, had)));
        if (!receiveAll(payload.data() + had, payload.size() - had, deadline, failure)) {
            return std::nullopt;
        }
    }
    return payload;
}

bool FramedSocket::receiveAll(char *bytes, std::size_t count, TimePoint deadline, Failure &failure) const
{
    std::size_t received = 0;
    while (received < count) {
        const auto result = ::recv(descriptor_, bytes + received, count - received, 0);
        if (result > 0) {
            received += static_cast<std::size_t>(result);
        } else if (result == 0) {
            fail(failure, FailureReason::ConnectionLost, "the connection was closed by the other side");
            return false;
        } else if (errno == EAGAIN) {
            if (!waitFor(descriptor_, POLLIN, deadline)) {
                fail(failure, FailureReason::TimedOut, "no whole answer in time");
                return false;
            }
        } else if (errno != EINTR) {
            fail(failure, FailureReason::ConnectionLost, errorText(errno));
            return false;
        }
    }
    return true;
}

bool FramedSocket::isStale() const
{
    return waitReadable(Milliseconds(0));
}

void FramedSocket::shutdownReading() const
{
    ::shutdown(descriptor_, SHUT_RD);
}

void FramedSocket::shutdown() const
{
    ::shutdown(descriptor_, SHUT_RDWR);
}

} // namespace auburndoor
