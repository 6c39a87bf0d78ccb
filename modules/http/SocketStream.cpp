#include "http/SocketStream.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace auburndoor {

namespace {

constexpr std::size_t inputBufferBytes = 4096;
/** Bound of the unread input that is discarded before a connection is closed. */
constexpr std::size_t maxDiscardedBytes = 1 << 20;

/** Reads an address with getsockname() or getpeername(); leaves ip and port unchanged if there is none. */
template<typename ReadAddress>
void fillAddress(ReadAddress readAddress, socket_t socket, std::string &ip, int &port)
{
    sockaddr_in address {};
    socklen_t size = sizeof(address);
    std::array<char, INET_ADDRSTRLEN> text {};
    if (readAddress(socket, reinterpret_cast<sockaddr *>(&address), &size) == 0 && address.sin_family == AF_INET
        && ::inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size()) != nullptr) {
        ip = text.data();
        port = ntohs(address.sin_port);
    }
}

} // namespace

SocketStream::SocketStream(socket_t socket,
                           std::chrono::milliseconds readTimeout,
                           std::chrono::milliseconds writeTimeout,
                           const std::atomic<bool> &isDraining)
    : socket_(socket), readTimeout_(readTimeout), writeTimeout_(writeTimeout), isDraining_(isDraining)
{
}

SocketStream::~SocketStream()
{
    ::shutdown(socket_, SHUT_WR);
    std::array<char, inputBufferBytes> discarded;
    std::size_t discardedBytes = 0;
    ssize_t count = 1;
    while (count > 0 && discardedBytes < maxDiscardedBytes) {
        count = ::recv(socket_, discarded.data(), discarded.size(), MSG_DONTWAIT);
        discardedBytes += static_cast<std::size_t>(std::max<ssize_t>(count, 0));
    }
    ::close(socket_);
}

bool SocketStream::waitForInput(std::chrono::milliseconds timeout) const
{
    return position_ < input_.size() || waitForEvent(POLLIN, timeout);
}

bool SocketStream::is_readable() const
{
    return waitForInput(readTimeout_);
}

bool SocketStream::is_writable() const
{
    return waitForEvent(POLLOUT, writeTimeout_);
}

ssize_t SocketStream::read(char *bytes, std::size_t size)
{
    if (position_ == input_.size()) {
        input_.resize(inputBufferBytes);
        position_ = 0;
        const auto count = receive(input_.data(), input_.size());
        input_.resize(static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
        if (count <= 0) {
            return count;
        }
    }
    const auto count = std::min(size, input_.size() - position_);
    std::copy_n(input_.data() + position_, count, bytes);
    position_ += count;
    return static_cast<ssize_t>(count);
}

std::chrono::milliseconds SocketStream::remainingReadTime()
{
    if (!isDraining_) {
        return readTimeout_;
    }
    const auto now = std::chrono::steady_clock::now();
    inputDeadline_ = inputDeadline_.value_or(now + readTimeout_);
    return std::max(std::chrono::milliseconds(0), std::chrono::ceil<std::chrono::milliseconds>(*inputDeadline_ - now));
}

ssize_t SocketStream::receive(char *bytes, std::size_t size)
{
    while (true) {
        const auto timeout = remainingReadTime();
        if (timeout == std::chrono::milliseconds(0)) {
            return -1;
        }
        const auto count = ::recv(socket_, bytes, size, MSG_DONTWAIT);
        const bool isWaitNeeded = count < 0 && errno == EAGAIN;
        if (count >= 0 || (!isWaitNeeded && errno != EINTR)) {
            return count;
        }
        if (isWaitNeeded && !waitForEvent(POLLIN, timeout)) {
            return -1;
        }
    }
}

ssize_t SocketStream::write(const char *bytes, std::size_t size)
{
    std::size_t written = 0;
    while (written < size) {
        const auto count = ::send(socket_, bytes + written, size - written, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count >= 0) {
            written += static_cast<std::size_t>(count);
        } else if (errno == EAGAIN) {
            if (!is_writable()) {
                return -1;
            }
        } else if (errno != EINTR) {
            return -1;
        }
    }
    return static_cast<ssize_t>(size);
}

void SocketStream::get_remote_ip_and_port(std::string &ip, int &port) const
{
    fillAddress(::getpeername, socket_, ip, port);
}

void SocketStream::get_local_ip_and_port(std::string &ip, int &port) const
{
    fillAddress(::getsockname, socket_, ip, port);
}

socket_t SocketStream::socket() const
{
    return socket_;
}

bool SocketStream::waitForEvent(short event, std::chrono::milliseconds timeout) const
{
    pollfd entry { socket_, event, 0 };
    int count = 0;
    do {
        count = ::poll(&entry, 1, static_cast<int>(timeout.count()));
    } while (count < 0 && errno == EINTR);
    return count > 0;
}

} // namespace auburndoor
