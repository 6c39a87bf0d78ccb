#pragma once

#include "core/Clock.h"

#include <optional>
#include <string>

namespace auburndoor {

struct Failure;

/**
    A TCP connection that carries frames: four bytes of length in network order, then the payload, as Thrift's framed transport.

    The library's own sockets have a timeout for each read instead of one for the whole frame, and do not tell whether a frame was
    sent whole, on which the difference between NotRun and Unknown rests. Timeouts run on the real steady clock. Used by one thread
    at a time, except shutdownReading().
*/
class FramedSocket
{
public:
    /** Takes over a connected socket. */
    explicit FramedSocket(int descriptor);
    ~FramedSocket();
    FramedSocket(const FramedSocket &) = delete;
    FramedSocket &operator=(const FramedSocket &) = delete;
    FramedSocket(FramedSocket &&other) noexcept;
    FramedSocket &operator=(FramedSocket &&other) noexcept;

    /** Connects to "ip:port". @return empty with reason and message of the failure filled */
    static std::optional<FramedSocket> connect(const std::string &address, Milliseconds timeout, Failure &failure);

    /** Listens on an address of this machine. @param port 0 lets the system choose; set to the port @return descriptor or -1 */
    static int listen(const std::string &ip, int &port, Failure &failure);

    /** Sends one frame. @return false if the frame did not leave this process whole, so that the other side cannot act on it */
    bool send(const std::string &payload, Milliseconds timeout, Failure &failure);

    /** Waits until there is something to read or the other side has closed. @return false if the time has passed */
    bool waitReadable(Milliseconds timeout) const;

    /**
        Receives one frame.

        @return empty on failure: ConnectionLost, TimedOut, or TooLarge for a frame over the limit, of which nothing was read
    */
    std::optional<std::string> receive(std::size_t limit, Milliseconds timeout, Failure &failure);

    /** True if the other side has closed an idle connection or sent something unasked. */
    bool isStale() const;

    /** Lets receive() return after what has arrived already. Any thread. */
    void shutdownReading() const;

    /** Tells the other side that the connection has ended; the descriptor stays until the destructor. */
    void shutdown() const;

private:
    bool receiveAll(char *bytes, std::size_t count, TimePoint deadline, Failure &failure) const;

    int descriptor_;
};

} // namespace auburndoor
