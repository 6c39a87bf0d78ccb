#pragma once

#include "core/Clock.h"
#include "net/Address.h"
#include "net/HttpExchange.h"

#include <memory>

namespace auburndoor {

class EventLoop;

/** Bounds of the connections to one peer. */
struct HttpChannelLimits
{
    /** Connections kept to the peer; further requests wait for one. */
    std::size_t maxConnections = 2;
    /** The longest wait for a connection to open. */
    Milliseconds connectTimeout { 800 };
    /** Requests that may wait for a connection; one more is answered as not sent. */
    std::size_t maxWaiting = 1000;
};

/**
    The kept connections from this process to one peer, as an HTTP/1.1 client.

    Each connection carries one request at a time. A connection on which a reply did not arrive in time is closed, since a later
    reply could not be told from the next one. All members are called from the loop's thread.
*/
class HttpChannels
{
public:
    HttpChannels(EventLoop &loop, Address peer, HttpChannelLimits limits);
    ~HttpChannels();

    /**
        Sends a request; the callback is called once, never from within send().

        @param timeout from now, with the wait for a connection
    */
    void send(WebRequest request, Milliseconds timeout, SendCallback callback);

    /** Closes all connections; requests in flight end as lost, waiting ones as not sent. */
    void reset();

    const Address &peer() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace auburndoor
