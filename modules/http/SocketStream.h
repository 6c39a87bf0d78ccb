#pragma once

#include <httplib.h>

#include <atomic>
#include <chrono>
#include <optional>
#include <string>

namespace auburndoor {

/**
    One accepted connection of an HttpServer, as cpp-httplib reads and writes it; closes the socket at its end.

    cpp-httplib's own stream ends with each request, so that input read beyond the request is lost. Used by one thread.
*/
class SocketStream : public httplib::Stream
{
public:
    /**
        @param socket       a connected socket, owned by this object from now on
        @param readTimeout  for each read of input; from the first read after isDraining is set, for all input together
        @param writeTimeout for each write of output that has to wait
        @param isDraining   set by another thread when the server is stopping; must outlive this object
    */
    SocketStream(socket_t socket,
                 std::chrono::milliseconds readTimeout,
                 std::chrono::milliseconds writeTimeout,
                 const std::atomic<bool> &isDraining);

    /** Closes the connection. Unread input is discarded first: with it the kernel would send a reset, which can cost the peer an
        answer that it has not read yet. */
    ~SocketStream() override;

    SocketStream(const SocketStream &) = delete;
    SocketStream &operator=(const SocketStream &) = delete;

    /** Waits for the first byte of the next request. @return false if none arrived in this time */
    bool waitForInput(std::chrono::milliseconds timeout) const;

    bool is_readable() const override;
    bool is_writable() const override;

    /** @return the number of bytes, 0 at the end of the input, -1 after an error or the read timeout */
    ssize_t read(char *bytes, std::size_t size) override;

    /** Writes all bytes. @return their number, or -1 after an error or the write timeout */
    ssize_t write(const char *bytes, std::size_t size) override;

    void get_remote_ip_and_port(std::string &ip, int &port) const override;
    void get_local_ip_and_port(std::string &ip, int &port) const override;
    socket_t socket() const override;

private:
    ssize_t receive(char *bytes, std::size_t size);
    /** The longest time for the next read of input. */
    std::chrono::milliseconds remainingReadTime();
    bool waitForEvent(short event, std::chrono::milliseconds timeout) const;

    const socket_t socket_;
    const std::chrono::milliseconds readTimeout_;
    const std::chrono::milliseconds writeTimeout_;
    const std::atomic<bool> &isDraining_;
    /** The end of all input while the server is stopping, so that a caller which sends a byte at a time does not hold it up. */
    std::optional<std::chrono::steady_clock::time_point> inputDeadline_;
    /** Input that has been received and not been read, from position_ on. */
    std::string input_;
    std::size_t position_ = 0;
};

} // namespace auburndoor
