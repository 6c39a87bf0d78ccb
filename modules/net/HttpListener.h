#pragma once

#include "core/Clock.h"
#include "net/Address.h"
#include "net/ConnectionMemory.h"
#include "net/HttpExchange.h"
#include "net/HttpListenerLoad.h"

#include <functional>
#include <memory>
#include <optional>

namespace auburndoor {

class EventLoop;

/** Answers one request, by one call of reply() or abandon() from the loop's thread. Nothing is sent if the connection has ended. */
class HttpResponder
{
public:
    virtual ~HttpResponder() = default;

    virtual void reply(WebReply reply) = 0;

    /** Closes the connection without a reply, which leaves open whether the request was carried out. */
    virtual void abandon() = 0;
};

using HttpResponderPointer = std::shared_ptr<HttpResponder>;

/** Called from the loop's thread for each request that has arrived. */
using HttpHandler = std::function<void(WebRequest, HttpResponderPointer)>;

/** Looks at the headers of a request whose body has not arrived in full. @return a reply that ends it at once, or empty */
using HttpHeaderCheck = std::function<std::optional<WebReply>(const WebRequest &)>;

/** Limits of a listener and of each of its connections. */
struct HttpListenerLimits
{
    /** Requests on further connections are answered with status 503. */
    std::size_t maxConnections = 3000;
    /** Connections beyond maxConnections that may wait for this answer at a time; still further ones are closed at once. */
    std::size_t maxRejectedConnections = 64;
    /** A request over one of the next two limits is answered with status 413, and its connection is closed. */
    std::size_t maxHeaderBytes = 16384;
    std::size_t maxBodyBytes = 1 << 20;
    /** The longest time to send a reply. */
    Milliseconds transferTimeout { 10000 };
    /** A connection that is idle for so long is closed. */
    Milliseconds idleTimeout { 60000 };
    /** From its first byte, the longest time until the headers of a request have arrived, and as long again for its body. */
    Milliseconds headerTimeout { 3000 };
    /** A request of which nothing arrives for so long is ended. */
    Milliseconds stallTimeout { 15000 };
    /** A request whose headers have arrived has a second more for each so many bytes of it that have arrived. */
    std::size_t minBytesPerSecond = 16384;
    /** The size of the operating system's buffers of a connection in each direction, in bytes; 0 for its default. */
    int socketBufferBytes = 0;
    /**
        After the last reply of a connection, the longest time for the client to end it; input is dropped meanwhile. A client whose
        request is refused before it was read in full has the transferTimeout.
    */
    Milliseconds lingerTimeout { 1000 };
};

/** HTTP/1.1 server on one address. All members are called from the loop's thread. */
class HttpListener
{
public:
    /** @param memory the budget that the connections take their memory from, as part of those with this purpose; null for none */
    HttpListener(EventLoop &loop,
                 HttpListenerLimits limits,
                 HttpHandler handler,
                 std::shared_ptr<ConnectionMemory> memory = nullptr,
                 ConnectionPurpose purpose = ConnectionPurpose::Clients);
    ~HttpListener();

    /** Sets a check of the headers of requests whose body takes more than one read, so that it need not be read. */
    void setHeaderCheck(HttpHeaderCheck check);

    /** Replaces the headerTimeout and the stallTimeout for what arrives from now on. */
    void setRequestTimeouts(Milliseconds headerTimeout, Milliseconds stallTimeout);

    /** Binds the address and starts to accept connections. @return whether it succeeded; error says why not */
    bool listen(const Address &address, std::string &error);

    /**
        Announces the end of each connection, for a process that stops: each reply from now on carries "Connection: close", unless
        further requests have arrived behind it, and its connection ends once the reply was written. New connections are accepted
        and served in the same way.
    */
    void drain();

    /**
        Begins to end the connections that have waited for a request for so long: nothing more is sent, and the client has the
        lingerTimeout to end the connection. A request that crosses with this is not carried out.
    */
    void closeIdle(Milliseconds minimumIdle);

    /** Accepts the connections that wait and closes the listening socket, so that further ones are refused. */
    void stopAccepting();

    /** The bound port, also if listen() was given port 0. */
    std::uint16_t port() const;

    /** The number of connections, without those that are rejected because the listener is full. */
    std::size_t openConnections() const;

    /** The number of requests that were received and whose reply has not been written to the socket in full. */
    std::size_t openRequests() const;

    /** Counts what the connections are doing, with one system call for each that waits for a request. */
    HttpListenerLoad load() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace auburndoor
