#include "http/HttpServer.h"

#include "core/Failure.h"
#include "core/ListenerFilter.h"
#include "http/SocketStream.h"
#include "observability/Log.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <deque>
#include <utility>

namespace auburndoor {

namespace {

constexpr int listenBacklog = 1024;
constexpr std::size_t maxRequestsPerConnection = 1'000'000;
constexpr std::size_t overflowThreadCount = 2;
/** Bound of the time in which a stopping server accepts the connections that are left in the listen backlog. */
constexpr std::chrono::milliseconds backlogTimeout { 1000 };
/** The backlog counts as empty after this time without a connection in it; longer than the round trip between failure domains, 8
 * ms. */
constexpr std::chrono::milliseconds backlogQuietTime { 20 };

/** How long the connection that this thread serves waited for the thread; the first request takes the value and resets it. */
thread_local std::chrono::milliseconds connectionWaitTime { 0 };

/** True on the threads that refuse the requests of connections over the limit. */
thread_local bool isOverflowThread = false;

/** True if the connection that this thread serves ends after the current answer, which announces it. */
thread_local bool isLastAnswer = false;

/**
    A thread pool with a limited queue of connections; further connections go to a few threads that refuse their requests at once.

    cpp-httplib calls enqueue() for each accepted connection with a function that serves it until it is closed.
*/
class BoundedConnectionQueue : public httplib::TaskQueue
{
public:
    BoundedConnectionQueue(std::size_t threadCount, std::size_t maxWaitingConnections)
        : maxWaitingConnections_(maxWaitingConnections)
    {
        for (std::size_t index = 0; index < threadCount; ++index) {
            threads_.emplace_back([this] { run(waitingConnections_); });
        }
        for (std::size_t index = 0; index < overflowThreadCount; ++index) {
            threads_.emplace_back([this] {
                isOverflowThread = true;
                run(overflowConnections_);
            });
        }
    }

    void enqueue(std::function<void()> serveConnection) override
    {
        {
            const std::lock_guard lock(mutex_);
            auto serveAndRecordWait = [serveConnection = std::move(serveConnection), accepted = std::chrono::steady_clock::now()] {
                connectionWaitTime = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now()
                                                                                           - accepted);
                serveConnection();
            };
            (waitingConnections_.size() < maxWaitingConnections_ ? waitingConnections_ : overflowConnections_)
                .push_back(std::move(serveAndRecordWait));
        }
        condition_.notify_all();
    }

    void shutdown() override
    {
        {
            const std::lock_guard lock(mutex_);
            isShutDown_ = true;
        }
        condition_.notify_all();
        for (auto &thread : threads_) {
            thread.join();
        }
    }

private:
    void run(std::deque<std::function<void()>> &connections)
    {
        while (true) {
            std::function<void()> serveConnection;
            {
                std::unique_lock lock(mutex_);
                condition_.wait(lock, [&] { return !connections.empty() || isShutDown_; });
                if (connections.empty()) {
                    return;
                }
                serveConnection = std::move(connections.front());
                connections.pop_front();
            }
            serveConnection();
        }
    }

    const std::size_t maxWaitingConnections_;
    std::mutex mutex_;
    std::condition_variable condition_;
    std::deque<std::function<void()>> waitingConnections_;
    std::deque<std::function<void()>> overflowConnections_;
    std::vector<std::thread> threads_;
    bool isShutDown_ = false;
};

/**
    A server with its own loop over the requests of a connection, and a listen backlog larger than cpp-httplib's 5.

    Once stopped, cpp-httplib ends connections between two requests and those that wait for a thread without notice or a look at
    their input; and it does not end a connection after an answer with "Connection: close". This loop ends a connection only after
    an answer that announces it, or when it has been idle.
*/
class ConnectionServer : public httplib::Server
{
public:
    ConnectionServer(const HttpServerOptions &options, const std::atomic<bool> &isDraining)
        : options_(options), isDraining_(isDraining)
    {
        set_post_routing_handler([this](const httplib::Request &request, httplib::Response &response) {
            isLastAnswer = isLastAnswer || isDraining_ || isOverflowThread || hasUnreadBody(request);
            if (isLastAnswer) {
                response.headers.erase("Keep-Alive");
                response.headers.erase("Connection");
                response.set_header("Connection", "close");
            }
        });
    }

    bool enlargeBacklog()
    {
        return ::listen(svr_sock_, listenBacklog) == 0;
    }

    /** Refuses new connections and waits until the listener's thread has accepted those in the backlog. The kernel resets the ones
     * that are left in it when the listener is closed, although their callers may have sent requests. */
    void emptyBacklog() const
    {
        const auto deadline = std::chrono::steady_clock::now() + backlogTimeout;
        dropConnectionRequests(svr_sock_);
        pollfd entry { svr_sock_, POLLIN, 0 };
        while (::poll(&entry, 1, static_cast<int>(backlogQuietTime.count())) > 0 && std::chrono::steady_clock::now() < deadline) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }

private:
    /** cpp-httplib reads the body of these methods only; that of another request would be taken for the next request. */
    static bool hasUnreadBody(const httplib::Request &request)
    {
        const auto &method = request.method;
        const bool isBodyRead = method == "POST" || method == "PUT" || method == "PATCH" || method == "DELETE";
        const auto length = request.get_header_value("Content-Length");
        return !isBodyRead && (request.has_header("Transfer-Encoding") || (!length.empty() && length != "0"));
    }

    bool process_and_close_socket(socket_t socket) override
    {
        SocketStream stream(socket, options_.readTimeout, options_.writeTimeout, isDraining_);
        isLastAnswer = false;
        bool isClosedByCaller = false;
        auto idleTimeout = firstRequestTimeout();
        while (!isLastAnswer && !isClosedByCaller && stream.waitForInput(idleTimeout)) {
            // Without this, each range of the header "Range" repeats its part of the answer in memory, as often as 8 KB of header
            // name it.
            const auto ignoreRanges = [](httplib::Request &request) { request.ranges.clear(); };
            if (!process_request(stream, false, isClosedByCaller, ignoreRanges)) {
                return false;
            }
            idleTimeout = options_.keepAliveTimeout;
        }
        return true;
    }

    /** While draining, the time that a connection without input has waited for its thread counts as idle, so that many such
     * connections do not prolong the stop one after the other. */
    std::chrono::milliseconds firstRequestTimeout() const
    {
        const std::chrono::milliseconds timeout = options_.keepAliveTimeout;
        return isDraining_ ? std::max(std::chrono::milliseconds(0), timeout - connectionWaitTime) : timeout;
    }

    const HttpServerOptions &options_;
    const std::atomic<bool> &isDraining_;
};

std::string toLower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char letter) { return std::tolower(letter); });
    return text;
}

HttpRequest convertRequest(const httplib::Request &source)
{
    HttpRequest request;
    request.method = source.method;
    request.path = source.path;
    for (const auto &[key, value] : source.headers) {
        request.headers[toLower(key)] = value;
    }
    for (const auto &[key, value] : source.params) {
        request.query[key] = value;
    }
    for (std::size_t index = 1; index < source.matches.size(); ++index) {
        request.pathParts.push_back(source.matches[index]);
    }
    request.body = source.body;
    request.waited = std::exchange(connectionWaitTime, std::chrono::milliseconds(0));
    return request;
}

void fillResponse(httplib::Response &target, const HttpReply &reply)
{
    target.status = reply.status;
    for (const auto &[key, value] : reply.headers) {
        target.set_header(key, value);
    }
    target.set_content(reply.body, reply.contentType);
}

} // namespace

class HttpServer::Implementation
{
public:
    explicit Implementation(const HttpServerOptions &options) : options_(options), server_(options_, isDraining_)
    {
        server_.new_task_queue = [this] {
            return new BoundedConnectionQueue(options_.threadCount, options_.waitingConnectionLimit);
        };
        // cpp-httplib names these two limits in the header "Keep-Alive" of an answer.
        server_.set_keep_alive_max_count(maxRequestsPerConnection);
        server_.set_keep_alive_timeout(options_.keepAliveTimeout.count());
        server_.set_tcp_nodelay(true);
        server_.set_payload_max_length(options_.maxBodyBytes);
        server_.set_error_handler(httplib::Server::Handler([this](const httplib::Request &request, httplib::Response &response) {
            const bool isRefusedUnrouted = response.body.empty();
            // The rest of a request that could not be read would be taken for the next request.
            isLastAnswer = isRefusedUnrouted && response.status != 404;
            if (errorHandler_ && isRefusedUnrouted) {
                fillWithError(request, response);
            }
        }));
        server_.set_exception_handler([](const httplib::Request &, httplib::Response &response, std::exception_ptr) {
            response.status = 500;
            response.set_content(R"({"error":"internal error"})", "application/json");
        });
    }

    void route(const std::string &method, const std::string &pattern, Handler handler)
    {
        auto handleRequest = [this, handler = std::move(handler)](const httplib::Request &request, httplib::Response &response) {
            if (isOverflowThread) {
                fillResponse(response,
                             overflowHandler_ ? overflowHandler_(convertRequest(request))
                                              : HttpReply { 503, {}, "application/json", {} });
            } else {
                fillResponse(response, handler(convertRequest(request)));
            }
        };
        if (method == "GET") {
            server_.Get(pattern, handleRequest);
        } else if (method == "POST") {
            server_.Post(pattern, handleRequest);
        } else if (method == "PUT") {
            server_.Put(pattern, handleRequest);
        } else {
            server_.Delete(pattern, handleRequest);
        }
    }

    std::optional<int> bind(Failure &failure)
    {
        auto port = options_.port;
        const auto isBound = port == 0 ? (port = server_.bind_to_any_port(options_.address)) > 0
                                       : server_.bind_to_port(options_.address, port);
        if (!isBound || !server_.enlargeBacklog()) {
            failure = { FailureStep::None,
                        options_.address + ":" + std::to_string(options_.port),
                        FailureReason::ConnectionFailed,
                        "cannot listen on " + options_.address + ":" + std::to_string(options_.port) };
            return std::nullopt;
        }
        return port;
    }

    void start()
    {
        listenerThread_ = std::thread([this] { server_.listen_after_bind(); });
        while (!server_.is_running()) {
            std::this_thread::yield();
        }
    }

    void stop()
    {
        if (!listenerThread_.joinable()) {
            return;
        }
        isDraining_ = true;
        server_.emptyBacklog();
        server_.stop();
        listenerThread_.join();
    }

    HttpServerOptions options_;
    std::atomic<bool> isDraining_ = false;
    ConnectionServer server_;
    Handler overflowHandler_;
    std::function<HttpReply(const HttpRequest &, int)> errorHandler_;

private:
    /** cpp-httplib catches the exceptions of routes, but not those of its error handler, which would end the process. */
    void fillWithError(const httplib::Request &request, httplib::Response &response) const
    {
        try {
            fillResponse(response, errorHandler_(convertRequest(request), response.status));
        } catch (const std::exception &exception) {
            Log::error("http-error-handler-failed", { { "error", exception.what() } });
        }
    }

    std::thread listenerThread_;
};

HttpServer::HttpServer(const HttpServerOptions &options) : implementation_(std::make_unique<Implementation>(options))
{
}

HttpServer::~HttpServer()
{
    stop();
}

void HttpServer::route(const std::string &method, const std::string &pattern, Handler handler)
{
    implementation_->route(method, pattern, std::move(handler));
}

void HttpServer::setOverflowHandler(Handler handler)
{
    implementation_->overflowHandler_ = std::move(handler);
}

void HttpServer::setErrorHandler(std::function<HttpReply(const HttpRequest &, int)> handler)
{
    implementation_->errorHandler_ = std::move(handler);
}

std::optional<int> HttpServer::bind(Failure &failure)
{
    return implementation_->bind(failure);
}

void HttpServer::start()
{
    implementation_->start();
}

void HttpServer::setDraining()
{
    implementation_->isDraining_ = true;
}

void HttpServer::stop()
{
    implementation_->stop();
}

} // namespace auburndoor
