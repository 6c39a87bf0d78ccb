#pragma once

#include "core/Clock.h"
#include "net/Address.h"
#include "net/HttpExchange.h"
#include "net/HttpReplyTimeouts.h"

#include <memory>

namespace auburndoor {

class EventLoop;

/** Limits of the connections to one peer. */
struct HttpChannelLimits
{
    /** The maximum number of connections; while all are in use, further requests wait. */
    std::size_t maxConnections = 2;
    /** The longest time for a connection to open. */
    Milliseconds connectTimeout { 800 };
    /** The maximum number of requests that wait for a connection; further ones end as SendOutcome::NotSent. */
    std::size_t maxWaiting = 1000;
};

/**
    HTTP/1.1 client of one peer, which keeps its connections open between requests.

    Each connection carries one request at a time. A connection on which a reply did not arrive in time is closed, since a late
    reply would be taken for that to the next request. All members are called from the loop's thread.
*/
class HttpChannels
{
public:
    HttpChannels(EventLoop &loop, Address peer, HttpChannelLimits limits);
    ~HttpChannels();

    /**
        Sends a request, at once or when a connection is free. The callback is called once, never from within send().

        @param timeout from now until the reply has arrived, including the wait for a connection. A request that still waits at its
                       timeout is ended when a connection becomes free. A request that is bound to a connection waits for it,
                       and requests after it wait as well; it is never sent on another one.
    */
    void send(WebRequest request, Milliseconds timeout, SendCallback callback);

    /**
        Sends a request whose reply may be long.

        A reply that goes on arriving is not given up before HttpReplyTimeouts::total, on however slow a link, while a connection on
        which nothing arrives is noticed as soon as with a short timeout.
    */
    void send(WebRequest request, const HttpReplyTimeouts &timeouts, SendCallback callback);

    /** Closes all connections. Requests that were sent end as SendOutcome::Lost, the others as NotSent. */
    void reset();

    const Address &peer() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace auburndoor
