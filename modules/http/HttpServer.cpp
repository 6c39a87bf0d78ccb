#include "http/HttpServer.h"

#include "core/Failure.h"

#include <httplib.h>

#include <algorithm>
#include <deque>
#include <utility>

namespace auburndoor {

namespace {

constexpr int listenBacklog = 1024;
constexpr std::size_t maxRequestsPerConnection = 1'000'000;
constexpr std::size_t overflowThreadCount = 2;

/** How long the connection that this thread serves waited for the thread; the first request takes the value and resets it. */
thread_local std::chrono::milliseconds connectionWaitTime { 0 };

/** True on the threads that refuse the requests of connections over the limit. */
thread_local bool isOverflowThread = false;

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

/** A server that can enlarge the listen backlog, which cpp-httplib sets to 5. */
class LargeBacklogServer : public httplib::Server
{
public:
    bool enlargeBacklog()
    {
        return ::listen(svr_sock_, listenBacklog) == 0;
    }
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
    explicit Implementation(const HttpServerOptions &options) : options_(options)
    {
        server_.new_task_queue = [this] {
            return new BoundedConnectionQueue(options_.threadCount, options_.waitingConnectionLimit);
        };
        server_.set_keep_alive_max_count(maxRequestsPerConnection);
        server_.set_keep_alive_timeout(options_.keepAliveTimeout.count());
        server_.set_tcp_nodelay(true);
        server_.set_read_timeout(options_.readTimeout);
        server_.set_write_timeout(options_.writeTimeout);
        server_.set_payload_max_length(options_.maxBodyBytes);
        server_.set_error_handler(httplib::Server::Handler([this](const httplib::Request &request, httplib::Response &response) {
            if (errorHandler_ && response.body.empty()) {
                fillResponse(response, errorHandler_(convertRequest(request), response.status));
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
            if (isDraining_ || isOverflowThread) {
                response.set_header("Connection", "close");
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
        server_.stop();
        listenerThread_.join();
    }

    HttpServerOptions options_;
    LargeBacklogServer server_;
    Handler overflowHandler_;
    std::function<HttpReply(const HttpRequest &, int)> errorHandler_;
    std::atomic<bool> isDraining_ = false;

private:
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
