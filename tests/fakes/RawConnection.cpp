#include "fakes/RawConnection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>

namespace auburndoor {

RawConnection::RawConnection(int port) : socket_(::socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    isOpen_ = ::connect(socket_, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0;
}

RawConnection::~RawConnection()
{
    ::close(socket_);
}

bool RawConnection::isOpen() const
{
    return isOpen_;
}

bool RawConnection::send(const std::string &bytes) const
{
    return ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
}

bool RawConnection::sendRequest(const std::string &method,
                                const std::string &path,
                                const std::string &body,
                                const std::map<std::string, std::string> &headers) const
{
    std::string request = method + " " + path + " HTTP/1.1\r\nHost: test\r\n";
    for (const auto &[key, value] : headers) {
        request.append(key).append(": ").append(value).append("\r\n");
    }
    return send(request + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

std::optional<std::string> RawConnection::readAnswer(std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    const std::string lengthHeader = "Content-Length: ";
    while (true) {
        const auto headerEnd = received_.find("\r\n\r\n");
        const auto lengthStart = received_.find(lengthHeader);
        if (headerEnd != std::string::npos && lengthStart < headerEnd) {
            const auto length = std::strtoul(received_.c_str() + lengthStart + lengthHeader.size(), nullptr, 10);
            const auto end = headerEnd + 4 + length;
            if (received_.size() >= end) {
                auto answer = received_.substr(0, end);
                received_.erase(0, end);
                return answer;
            }
        }
        char bytes[4096];
        const auto count = waitReadable(deadline) ? ::recv(socket_, bytes, sizeof(bytes), 0) : 0;
        if (count <= 0) {
            return std::nullopt;
        }
        received_.append(bytes, static_cast<std::size_t>(count));
    }
}

bool RawConnection::waitForClose(std::chrono::milliseconds timeout)
{
    char byte = 0;
    return received_.empty() && waitReadable(std::chrono::steady_clock::now() + timeout) && ::recv(socket_, &byte, 1, 0) <= 0;
}

bool RawConnection::announcesClose(const std::string &answer)
{
    return answer.substr(0, answer.find("\r\n\r\n") + 2).find("\r\nConnection: close\r\n") != std::string::npos;
}

bool RawConnection::waitReadable(std::chrono::steady_clock::time_point deadline) const
{
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now());
    pollfd entry { socket_, POLLIN, 0 };
    return ::poll(&entry, 1, static_cast<int>(std::max<long long>(remaining.count(), 0))) > 0;
}

} // namespace auburndoor
