#pragma once

#include "core/Clock.h"
#include "peer/FramedSocket.h"

#include <condition_variable>
#include <mutex>
#include <string>
#include <vector>

namespace auburndoor {

struct Failure;

/** Reuses connections to one address and limits how many are in use. All members may be called from any thread. */
class ConnectionPool
{
public:
    /**
        @param connectionLimit  connections in use at the same time
        @param idleTimeout      how long an unused connection is kept; must be shorter than the server's idle timeout, or the server
                                may close a connection while a call is being sent on it
        @param connectTimeout   how long acquire() may take; short, so that after an unreachable or busy host there is time left to
                                try another peer
    */
    ConnectionPool(std::string address, std::size_t connectionLimit, Milliseconds idleTimeout, Milliseconds connectTimeout);

    /**
        Returns an idle connection or opens a new one, for one exchange. Waits while connectionLimit connections are in use.

        Waits and connects for the shorter of timeout and connectTimeout. Every acquired connection is ended by release() or
        discard().

        @return empty with reason and message of the failure filled; Throttled if all connections stayed in use
    */
    std::optional<FramedSocket> acquire(Milliseconds timeout, Failure &failure);

    /** Returns a connection to the pool after its answer has been received completely. */
    void release(FramedSocket socket);

    /** Counts an acquired connection as no longer in use, after an exchange that failed. The caller closes the connection. */
    void discard();

private:
    struct IdleConnection
    {
        FramedSocket socket;
        TimePoint idleSince;
    };

    /** Removes connections past the idle timeout, then takes the most recently used one that is not stale. */
    std::optional<FramedSocket> takeIdleConnection();

    const std::string address_;
    const std::size_t connectionLimit_;
    const Milliseconds idleTimeout_;
    const Milliseconds connectTimeout_;
    std::mutex mutex_;
    std::condition_variable connectionFreed_;
    std::size_t connectionsInUse_ = 0;
    std::vector<IdleConnection> idleConnections_;
};

} // namespace auburndoor
