#include "http/HttpServer.h"

#include "core/Failure.h"

#include <httplib.h>

#include <algorithm>
#include <deque>
#include <utility>

namespace auburndoor {

namespace {

constexpr int listenBacklog = 1024;
constexpr std::size_t requestsPerConnection = 1'000'000;
constexpr std::size_t overflowThreadCount = 2;

/** How long the connection that this thread serves has waited for it; taken by the first request. */
thread_local std::chrono::milliseconds connectionWait { 0 };

/** True on the threads that answer connections past the limit. */
thread_local bool isOverflowThread = false;

/** A bounded pool; connections past its limit go to a few threads that refuse them at once. */
class BoundedTaskQueue : public httplib::TaskQueue
{
public:
    BoundedTaskQueue(std::size_t threadCount, std::size_t limit) : limit_(limit)
    {
        for (std::size_t index = 0; index < threadCount; ++index) {
            threads_.emplace_back([this] { run(jobs_); });
        }
        for (std::size_t index = 0; index < overflowThreadCount; ++index) {
            threads_.emplace_back([this] {
                isOverflowThread = true;
                run(overflowJobs_);
            });
        }
    }

    void enqueue(std::function<void()> job) override
    {
        {
            const std::lock_guard lock(mutex_);
            auto timed = [job = std::move(job), accepted = std::chrono::steady_clock::now()] {
                connectionWait = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - accepted);
                job();
            };
            (jobs_.size() < limit_ ? jobs_ : overflowJobs_).push_back(std::move(timed));
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
    void run(std::deque<std::function<void()>> &jobs)
    {
        while (true) {
            std::function<void()> job;
            {
                std::unique_lock lock(mutex_);
                condition_.wait(lock, [&] { return !jobs.empty() || isShutDown_; });
                if (jobs.empty()) {
                    return;
                }
                job = std::move(jobs.front());
                jobs.pop_front();
            }
            job();
        }
    }

    const std::size_t limit_;
    std::mutex mutex_;
    std::condition_variable condition_;
    std::deque<std::function<void()>> jobs_;
    std::deque<std::function<void()>> overflowJobs_;
    std::vector<std::thread> threads_;
    bool isShutDown_ = false;
};

/** Gives access to the listening socket, whose backlog the library fixes at 5. */
class ListeningServer : public httplib::Server
{
public:
    bool widenBacklog()
    {
        return ::listen(svr_sock_, listenBacklog) == 0;
    }
};

std::string toLower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char letter) { return std::tolower(letter); });
    return text;
}

HttpRequest convert(const httplib::Request &source)
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
    request.waited = std::exchange(connectionWait, std::chrono::milliseconds(0));
    return request;
}

void fill(httplib::Response &target, const HttpReply &reply)
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
        server_.new_task_queue = [this] { return new BoundedTaskQueue(options_.threadCount, options_.waitingConnectionLimit); };
        server_.set_keep_alive_max_count(requestsPerConnection);
        server_.set_keep_alive_timeout(options_.keepAliveTimeout.count());
        server_.set_tcp_nodelay(true);
        server_.set_read_timeout(options_.readTimeout);
        server_.set_write_timeout(options_.writeTimeout);
        server_.set_payload_max_length(options_.maxBodyBytes);
        server_.set_error_handler(httplib::Server::Handler([this](const httplib::Request &request, httplib::Response &response) {
            if (errorHandler_ && response.body.empty()) {
                fill(response, errorHandler_(convert(request), response.status));
            }
        }));
        server_.set_exception_handler([](const httplib::Request &, httplib::Response &response, std::exception_ptr) {
            response.status = 500;
            response.set_content(R"({"error":"internal error"})", "application/json");
        });
    }

    void route(const std::string &method, const std::string &pattern, Handler handler)
    {
        auto serve = [this, handler = std::move(handler)](const httplib::Request &request, httplib::Response &response) {
            if (isOverflowThread) {
                fill(response,
                     overflowHandler_ ? overflowHandler_(convert(request)) : HttpReply { 503, {}, "application/json", {} });
            } else {
                fill(response, handler(convert(request)));
            }
            if (isDraining_ || isOverflowThread) {
                response.set_header("Connection", "close");
            }
        };
        if (method == "GET") {
            server_.Get(pattern, serve);
        } else if (method == "POST") {
            server_.Post(pattern, serve);
        } else if (method == "PUT") {
            server_.Put(pattern, serve);
        } else {
            server_.Delete(pattern, serve);
        }
    }

    std::optional<int> bind(Failure &failure)
    {
        auto port = options_.port;
        const auto isBound = port == 0 ? (port = server_.bind_to_any_port(options_.address)) > 0
                                       : server_.bind_to_port(options_.address, port);
        if (!isBound || !server_.widenBacklog()) {
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
        thread_ = std::thread([this] { server_.listen_after_bind(); });
        while (!server_.is_running()) {
            std::this_thread::yield();
        }
    }

    void stop()
    {
        if (!thread_.joinable()) {
            return;
        }
        isDraining_ = true;
        server_.stop();
        thread_.join();
    }

    HttpServerOptions options_;
    ListeningServer server_;
    Handler overflowHandler_;
    std::function<HttpReply(const HttpRequest &, int)> errorHandler_;
    std::atomic<bool> isDraining_ = false;

private:
    std::thread thread_;
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
