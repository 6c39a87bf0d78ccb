#pragma once

#include "core/Clock.h"
#include "net/Address.h"
#include "net/HttpExchange.h"

#include <functional>
#include <memory>

namespace auburndoor {

class EventLoop;

/** Sends the reply to one request; called once, from the loop's thread. Calls after the connection has ended do nothing. */
class HttpResponder
{
public:
    virtual ~HttpResponder() = default;

    virtual void reply(WebReply reply) = 0;

    /** Closes the connection without a reply: no verdict on the request. */
    virtual void abandon() = 0;
};

using HttpResponderPointer = std::shared_ptr<HttpResponder>;
using HttpHandler = std::function<void(WebRequest, HttpResponderPointer)>;

/** Bounds of what one connection may use. */
struct HttpListenerLimits
{
    std::size_t maxConnections = 3000;
    std::size_t maxHeaderBytes = 16384;
    std::size_t maxBodyBytes = 1 << 20;
    /** The longest wait for the rest of a request, and for a reader that takes a reply. */
    Milliseconds transferTimeout { 10000 };
    /** How long an idle connection is kept. */
    Milliseconds idleTimeout { 60000 };
};

/** Serves HTTP/1.1 on one address. All members are called from the loop's thread. */
class HttpListener
{
public:
    HttpListener(EventLoop &loop, HttpListenerLimits limits, HttpHandler handler);
    ~HttpListener();

    /** Binds and begins to accept. @return whether it succeeded; error says why not. */
    bool listen(const Address &address, std::string &error);

    /** The bound port. */
    std::uint16_t port() const;

    std::size_t openConnections() const;

    /** Requests that were read and are not yet answered. */
    std::size_t openRequests() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace auburndoor
