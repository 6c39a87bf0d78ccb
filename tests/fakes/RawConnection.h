#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace auburndoor {

/** A client's connection to a loopback port that shows what a server writes and when it closes. Used by one thread. */
class RawConnection
{
public:
    /** Connects; isOpen() is false if the server does not listen. */
    explicit RawConnection(int port);
    ~RawConnection();
    RawConnection(const RawConnection &) = delete;
    RawConnection &operator=(const RawConnection &) = delete;

    bool isOpen() const;

    /** Sends bytes. @return false if the connection was closed */
    bool send(const std::string &bytes) const;

    /** Sends a request with this body. @return false if the connection was closed */
    bool sendRequest(const std::string &method,
                     const std::string &path,
                     const std::string &body = {},
                     const std::map<std::string, std::string> &headers = {}) const;

    /** Reads one answer with its body. @return headers and body; empty if the connection ended or the time passed before the end */
    std::optional<std::string> readAnswer(std::chrono::milliseconds timeout);

    /** Waits for the server to close the connection. @return false if it was open for the whole time or sent more bytes */
    bool waitForClose(std::chrono::milliseconds timeout);

    /** @return whether an answer announces that the server closes the connection after it */
    static bool announcesClose(const std::string &answer);

private:
    bool waitReadable(std::chrono::steady_clock::time_point deadline) const;

    int socket_ = -1;
    bool isOpen_ = false;
    std::string received_;
};

} // namespace auburndoor
