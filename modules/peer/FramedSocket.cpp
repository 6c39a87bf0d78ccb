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

constexpr std::size_t lengthFieldBytes = 4;
constexpr int listenBacklog = 1024;

using AddressList = std::unique_ptr<addrinfo, decltype(&freeaddrinfo)>;

std::string errorText(int error)
{
    return std::generic_category().message(error);
}

void fillFailure(Failure &failure, FailureReason reason, const std::string &message)
{
    failure.reason = reason;
    failure.message = message;
}

/** Parses an IP address and a port without name resolution. @return empty if they are malformed */
AddressList parseAddress(const std::string &ip, const std::string &port, bool isForListening)
{
    addrinfo hints {};
    hints.ai_socktype = SOCK_STREAM;
    hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV | (isForListening ? AI_PASSIVE : 0);
    addrinfo *addresses = nullptr;
    if (getaddrinfo(ip.c_str(), port.c_str(), &hints, &addresses) != 0) {
        addresses = nullptr;
    }
    return { addresses, &freeaddrinfo };
}

/** Parses "ip:port", where an IPv6 address may stand in brackets. @return empty if it is malformed */
AddressList parseAddress(const std::string &address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return { nullptr, &freeaddrinfo };
    }
    auto ip = address.substr(0, colon);
    if (ip.starts_with('[') && ip.ends_with(']')) {
        ip = ip.substr(1, ip.size() - 2);
    }
    return parseAddress(ip, address.substr(colon + 1), false);
}

/** Waits for poll() events until the deadline, at most an hour in each call of poll(). @return false if the deadline passed */
bool waitForEvents(int descriptor, short events, TimePoint deadline)
{
    while (true) {
        const auto remaining = std::chrono::ceil<Milliseconds>(deadline - std::chrono::steady_clock::now());
        pollfd pollEntry { descriptor, events, 0 };
        const auto count = ::poll(&pollEntry, 1, static_cast<int>(std::clamp<long long>(remaining.count(), 0, 3'600'000)));
        if (count > 0) {
            return true;
        }
        if (count == 0 && remaining.count() <= 3'600'000) {
            return false;
        }
    }
}

void setSocketOptions(int descriptor)
{
    const int enabled = 1;
    // Disables Nagle's algorithm: each frame is written in one piece, so waiting for more bytes would only delay it.
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) | O_NONBLOCK);
}

} // namespace

FramedSocket::FramedSocket(int descriptor) : descriptor_(descriptor)
{
    setSocketOptions(descriptor_);
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
    const auto parsedAddress = parseAddress(address);
    if (!parsedAddress) {
        fillFailure(failure, FailureReason::MalformedInput, "\"" + address + "\" is not of the form ip:port");
        return std::nullopt;
    }
    const int descriptor = ::socket(parsedAddress->ai_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (descriptor < 0) {
        fillFailure(failure, FailureReason::ConnectionFailed, errorText(errno));
        return std::nullopt;
    }
    FramedSocket socket(descriptor);
    if (::connect(descriptor, parsedAddress->ai_addr, parsedAddress->ai_addrlen) == 0) {
        return socket;
    }
    int error = errno;
    if (error == EINPROGRESS) {
        if (!waitForEvents(descriptor, POLLOUT, deadline)) {
            fillFailure(failure, FailureReason::TimedOut, "the connection was not established before the timeout");
            return std::nullopt;
        }
        socklen_t size = sizeof(error);
        ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error == 0) {
            return socket;
        }
    }
    fillFailure(failure, FailureReason::ConnectionFailed, errorText(error));
    return std::nullopt;
}

int FramedSocket::listen(const std::string &ip, int &port, Failure &failure)
{
    const auto parsedAddress = parseAddress(ip, std::to_string(port), true);
    if (!parsedAddress) {
        fillFailure(failure, FailureReason::MalformedInput, "\"" + ip + "\" is not an IP address");
        return -1;
    }
    const int descriptor = ::socket(parsedAddress->ai_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int enabled = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    sockaddr_storage bound {};
    socklen_t size = sizeof(bound);
    auto *boundAddress = reinterpret_cast<sockaddr *>(&bound);
    if (descriptor < 0 || ::bind(descriptor, parsedAddress->ai_addr, parsedAddress->ai_addrlen) != 0
        || ::listen(descriptor, listenBacklog) != 0 || ::getsockname(descriptor, boundAddress, &size) != 0) {
        fillFailure(failure,
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
    std::string frame(reinterpret_cast<const char *>(&length), lengthFieldBytes);
    frame += payload;
    std::size_t sentBytes = 0;
    while (sentBytes < frame.size()) {
        const auto count = ::send(descriptor_, frame.data() + sentBytes, frame.size() - sentBytes, MSG_NOSIGNAL);
        if (count >= 0) {
            sentBytes += static_cast<std::size_t>(count);
        } else if (errno == EAGAIN) {
            if (!waitForEvents(descriptor_, POLLOUT, deadline)) {
                fillFailure(failure, FailureReason::TimedOut, "the frame was not sent completely before the timeout");
                return false;
            }
        } else if (errno != EINTR) {
            fillFailure(failure, FailureReason::ConnectionLost, errorText(errno));
            return false;
        }
    }
    return true;
}

bool FramedSocket::waitReadable(Milliseconds timeout) const
{
    return waitForEvents(descriptor_, POLLIN, std::chrono::steady_clock::now() + timeout);
}

std::optional<std::string> FramedSocket::receive(std::size_t maxPayloadBytes, Milliseconds timeout, Failure &failure)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    std::uint32_t length = 0;
    if (!receiveAll(reinterpret_cast<char *>(&length), lengthFieldBytes, deadline, failure)) {
        return std::nullopt;
    }
    length = ntohl(length);
    if (length > maxPayloadBytes) {
        fillFailure(failure,
                    FailureReason::TooLarge,
                    "a frame of " + std::to_string(length) + " bytes exceeds the limit of " + std::to_string(maxPayloadBytes));
        return std::nullopt;
    }
    // The buffer grows with the bytes that arrive, so that a large length field alone does not allocate memory.
    constexpr std::size_t minGrowthBytes = 65'536;
    std::string payload;
    while (payload.size() < length) {
        const auto receivedBytes = payload.size();
        payload.resize(std::min<std::size_t>(length, receivedBytes + std::max(minGrowthBytes, receivedBytes)));
        if (!receiveAll(payload.data() + receivedBytes, payload.size() - receivedBytes, deadline, failure)) {
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
            fillFailure(failure, FailureReason::ConnectionLost, "the other side closed the connection");
            return false;
        } else if (errno == EAGAIN) {
            if (!waitForEvents(descriptor_, POLLIN, deadline)) {
                fillFailure(failure, FailureReason::TimedOut, "the frame was not received completely before the timeout");
                return false;
            }
        } else if (errno != EINTR) {
            fillFailure(failure, FailureReason::ConnectionLost, errorText(errno));
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
