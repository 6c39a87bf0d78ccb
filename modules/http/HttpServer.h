#pragma once

#include "core/Clock.h"
#include "http/HttpMessage.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace auburndoor {

struct Failure;

/** Address, limits and timeouts of an HttpServer. */
struct HttpServerOptions
{
    std::string address = "127.0.0.1";
    /** 0 lets the system choose. */
    int port = 0;
    /** Threads that serve connections; a connection occupies a thread until it is closed. */
    std::size_t threadCount = 16;
    /** Accepted connections that may wait for a thread; requests on further ones are answered by the overflow handler. */
    std::size_t waitingConnectionLimit = 256;
    /** Requests with a larger body get status 413; see setErrorHandler(). */
    std::size_t maxBodyBytes = 1 << 20;
    Milliseconds readTimeout { 5000 };
    Milliseconds writeTimeout { 5000 };
    /** How long an idle keep-alive connection stays open and occupies its thread; whole seconds. */
    std::chrono::seconds keepAliveTimeout { 5 };
};

/**
    An HTTP/1.1 server over cpp-httplib with a bounded thread pool.

    The listen backlog is 1,024 instead of cpp-httplib's 5: with 5, callers that connect at the same moment wait for retransmitted
    SYNs. Handlers run on the threads of the pool, several at a time. Add routes and set handlers before start().
*/
class HttpServer
{
public:
    using Handler = std::function<HttpReply(const HttpRequest &)>;

    explicit HttpServer(const HttpServerOptions &options);

    /** Stops the server if it still runs. */
    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Adds a route. @param method GET, POST, PUT or DELETE @param pattern regular expression that the whole path must match */
    void route(const std::string &method, const std::string &pattern, Handler handler);

    /** Sets the handler for requests on connections over the limit; it must return at once. Default: status 503, empty body. */
    void setOverflowHandler(Handler handler);

    /**
        Sets the handler for requests whose path and method have no route or whose body is over the limit.

        @param handler is given the request and the status of the reply
    */
    void setErrorHandler(std::function<HttpReply(const HttpRequest &, int status)> handler);

    /** Binds the address and listens. @return the port; empty with the failure filled */
    std::optional<int> bind(Failure &failure);

    /** Starts the threads that accept and serve connections until stop(). Call bind() first. */
    void start();

    /** From now on each answer carries "Connection: close" and its connection is closed after it, so that callers connect to
     * another instance. Any thread. */
    void setDraining();

    /** Stops accepting connections, answers the requests on all accepted ones, those that wait for a thread included, and joins all
     * threads. A connection without a request is closed once it has been idle for the keep-alive timeout. */
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace auburndoor
