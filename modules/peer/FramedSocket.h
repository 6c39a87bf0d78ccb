#pragma once

#include "core/Clock.h"

#include <optional>
#include <string>

namespace auburndoor {

struct Failure;

/**
    A TCP connection that carries frames as Thrift's framed transport does: four bytes of length in network byte order, then the
    payload.

    Thrift's own sockets are not used: their timeout applies to each read instead of the whole frame, and they do not report whether
    a frame was sent completely, which decides between NotRun and Unknown. Timeouts use the system's steady clock, not a Clock.
    All members except shutdownReading() must be called by one thread at a time.
*/
class FramedSocket
{
public:
    /** Takes ownership of the descriptor of a connected socket and makes it non-blocking. */
    explicit FramedSocket(int descriptor);
    ~FramedSocket();
    FramedSocket(const FramedSocket &) = delete;
    FramedSocket &operator=(const FramedSocket &) = delete;
    FramedSocket(FramedSocket &&other) noexcept;
    FramedSocket &operator=(FramedSocket &&other) noexcept;

    /** Connects to "ip:port"; an IPv6 address may stand in brackets. @return empty with reason and message of the failure filled */
    static std::optional<FramedSocket> connect(const std::string &address, Milliseconds timeout, Failure &failure);

    /**
        Listens on an IP address of this machine.

        @param port 0 lets the system choose; set to the port that was bound
        @return the descriptor, which the caller closes, or -1 with reason and message of the failure filled
    */
    static int listen(const std::string &ip, int &port, Failure &failure);

    /**
        Sends one frame.

        @return false with TimedOut or ConnectionLost if the frame did not leave this process completely, so that the other side
                cannot act on it
    */
    bool send(const std::string &payload, Milliseconds timeout, Failure &failure);

    /** Waits until there is something to read or the other side has closed the connection. @return false after the timeout */
    bool waitReadable(Milliseconds timeout) const;

    /**
        Receives one frame.

        @return the payload; empty with ConnectionLost, TimedOut, or TooLarge for a payload over the limit, of which nothing was
                read but its length
    */
    std::optional<std::string> receive(std::size_t maxPayloadBytes, Milliseconds timeout, Failure &failure);

    /** True if the other side has closed an idle connection or sent bytes on it, so that it must not be used again. */
    bool isStale() const;

    /** Ends reading: receive() returns the data that has arrived already and then fails. Any thread. */
    void shutdownReading() const;

    /** Shuts the connection down in both directions; the destructor closes the descriptor. */
    void shutdown() const;

private:
    bool receiveAll(char *bytes, std::size_t count, TimePoint deadline, Failure &failure) const;

    int descriptor_;
};

} // namespace auburndoor
