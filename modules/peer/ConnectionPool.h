#pragma once

#include "core/Clock.h"
#include "peer/FramedSocket.h"

#include <condition_variable>
#include <mutex>
#include <string>
#include <vector>

namespace auburndoor {

struct Failure;

/** A bounded set of kept connections to one address. All members may be called from any thread. */
class ConnectionPool
{
public:
    /**
        @param limit    connections in use at the same time
        @param idleTime how long an unused connection is kept; less than at the server, which would else close it under a call
        @param connectTimeout how long acquire() may take, so that a vanished or busy host leaves time to try another peer
    */
    ConnectionPool(std::string address, std::size_t limit, Milliseconds idleTime, Milliseconds connectTimeout);

    /** A connection for one exchange: a kept one or a new one. Waits while all are in use. @return empty with the failure filled */
    std::optional<FramedSocket> acquire(Milliseconds timeout, Failure &failure);

    /** Gives back a connection after a whole exchange. */
    void release(FramedSocket socket);

    /** Ends the use of a connection that is in an unknown state. */
    void discard();

private:
    struct Kept
    {
        FramedSocket socket;
        TimePoint since;
    };

    std::optional<FramedSocket> takeKept();

    const std::string address_;
    const std::size_t limit_;
    const Milliseconds idleTime_;
    const Milliseconds connectTimeout_;
    std::mutex mutex_;
    std::condition_variable condition_;
    std::size_t inUse_ = 0;
    std::vector<Kept> kept_;
};

} // namespace auburndoor
