#pragma once

#include "core/Clock.h"
#include "http/HttpMessage.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace auburndoor {

struct Failure;

/** How an HttpServer listens. */
struct HttpServerOptions
{
    std::string address = "127.0.0.1";
    /** 0 lets the system choose. */
    int port = 0;
    /** Threads that serve connections; one connection holds one thread. */
    std::size_t threadCount = 16;
    /** Accepted connections that wait for a thread; one more is answered by the overflow handler. */
    std::size_t waitingConnectionLimit = 256;
    std::size_t maxBodyBytes = 1 << 20;
    Milliseconds readTimeout { 5000 };
    Milliseconds writeTimeout { 5000 };
    /** How long an idle kept-alive connection holds a thread; whole seconds. */
    std::chrono::seconds keepAliveTimeout { 5 };
};

/**
    An HTTP/1.1 server over cpp-httplib with a bounded thread pool.

    The listen backlog is 1,024 instead of the library's 5: with 5, callers that connect at the same moment wait for retransmitted
   SYNs. Handlers run on the pool's threads, several at a time. Routes are added before start().
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

    /** Adds a route. @param method GET, POST, PUT or DELETE @param pattern regular expression of the whole path */
    void route(const std::string &method, const std::string &pattern, Handler handler);

    /** Sets the handler for connections past the limit; it must answer at once. Default: status 503 with an empty body. */
    void setOverflowHandler(Handler handler);

    /** Sets the handler for paths and methods without a route and for bodies that are too large. @param handler gets the status */
    void setErrorHandler(std::function<HttpReply(const HttpRequest &, int status)> handler);

    /** Binds and listens. @return the port, or empty with the reason */
    std::optional<int> bind(Failure &failure);

    /** Serves on threads of its own until stop(). Call bind() first. */
    void start();

    /** Closes connections after their current request, so that callers move to another instance. */
    void setDraining();

    /** Stops accepting, finishes requests in flight and joins all threads. */
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace auburndoor
