#include "http/HttpClient.h"

#include "core/Failure.h"

#include <httplib.h>

#include <algorithm>
#include <mutex>
#include <string_view>

namespace auburndoor {

namespace {

constexpr int maxPort = 65535;
constexpr std::string_view lineEnd = "\r\n";

std::size_t computeHeaderSize(std::string_view key, std::string_view value)
{
    constexpr std::string_view separator = ": ";
    return key.size() + separator.size() + value.size() + lineEnd.size();
}

std::size_t computeHeadersSize(const httplib::Headers &headers)
{
    std::size_t size = lineEnd.size();
    for (const auto &[key, value] : headers) {
        size += computeHeaderSize(key, value);
    }
    return size;
}

/** The bytes of a request on the wire. The headers that cpp-httplib adds while it writes are not in the request; their sizes are
    added here. */
std::size_t computeMessageSize(const httplib::Request &request, const std::string &address)
{
    const auto firstLineSize = request.method.size() + request.path.size() + std::string_view("  HTTP/1.1\r\n").size();
    auto size = firstLineSize + computeHeadersSize(request.headers) + request.body.size();
    size += computeHeaderSize("Host", address) + computeHeaderSize("Accept", "*/*");
    size += computeHeaderSize("User-Agent", "cpp-httplib/" CPPHTTPLIB_VERSION);
    if (!request.body.empty() || request.method != "GET") {
        size += computeHeaderSize("Content-Length", std::to_string(request.body.size()));
    }
    return size;
}

std::size_t computeMessageSize(const httplib::Response &response)
{
    const auto firstLineSize = response.version.size() + response.reason.size() + std::string_view(" 200 \r\n").size();
    return firstLineSize + computeHeadersSize(response.headers) + response.body.size();
}

Failure makeFailure(httplib::Error error, const std::string &address)
{
    Failure failure { FailureStep::None, address, FailureReason::ConnectionLost, httplib::to_string(error) };
    if (error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout
        || error == httplib::Error::BindIPAddress) {
        failure.reason = FailureReason::ConnectionFailed;
    }
    return failure;
}

} // namespace

class HttpClient::Implementation
{
public:
    Implementation(std::string address, std::size_t connectionLimit)
        : address_(std::move(address)), connectionLimit_(connectionLimit)
    {
        const auto colon = address_.rfind(':');
        host_ = address_.substr(0, colon);
        port_ = colon == std::string::npos ? 0 : std::atoi(address_.c_str() + colon + 1);
    }

    /** Returns an idle connection, or a new one. @param isNewConnection set to which of the two it is */
    std::unique_ptr<httplib::Client> takeConnection(bool &isNewConnection)
    {
        {
            const std::lock_guard lock(mutex_);
            if (!idleConnections_.empty()) {
                auto client = std::move(idleConnections_.back());
                idleConnections_.pop_back();
                isNewConnection = false;
                return client;
            }
        }
        isNewConnection = true;
        return makeConnection();
    }

    /** Makes a client that connects at its first request; port 1 stands in for a missing or invalid port. */
    std::unique_ptr<httplib::Client> makeConnection() const
    {
        auto client = std::make_unique<httplib::Client>(host_, port_ > 0 && port_ <= maxPort ? port_ : 1);
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
        return client;
    }

    /** Keeps a connection for reuse, or closes it if enough idle connections are kept. */
    void returnConnection(std::unique_ptr<httplib::Client> client)
    {
        const std::lock_guard lock(mutex_);
        if (idleConnections_.size() < connectionLimit_) {
            idleConnections_.push_back(std::move(client));
        }
    }

    std::string address_;

private:
    std::size_t connectionLimit_;
    std::string host_;
    int port_ = 0;
    std::mutex mutex_;
    std::vector<std::unique_ptr<httplib::Client>> idleConnections_;
};

HttpClient::HttpClient(std::string address, std::size_t connectionLimit)
    : implementation_(std::make_unique<Implementation>(std::move(address), connectionLimit))
{
}

HttpClient::~HttpClient() = default;

const std::string &HttpClient::address() const
{
    return implementation_->address_;
}

std::optional<HttpReply> HttpClient::exchange(const std::string &method,
                                              const std::string &path,
                                              const std::string &body,
                                              const std::map<std::string, std::string> &headers,
                                              Milliseconds timeout,
                                              bool isRepeatable,
                                              Delivery &delivery,
                                              Failure &failure)
{
    httplib::Request request;
    request.method = method;
    request.path = path;
    request.body = body;
    for (const auto &[key, value] : headers) {
        request.set_header(key, value);
    }
    if (!body.empty() && !request.has_header("Content-Type")) {
        request.set_header("Content-Type", "application/json");
    }
    bool isNewConnection = false;
    auto client = implementation_->takeConnection(isNewConnection);
    const auto exchangeOnce = [&] {
        client->set_connection_timeout(timeout);
        client->set_read_timeout(timeout);
        client->set_write_timeout(timeout);
        return client->send(request);
    };
    const auto start = std::chrono::steady_clock::now();
    auto result = exchangeOnce();
    bool mayHaveArrived = false;
    if (!result && !isNewConnection && isRepeatable && std::chrono::steady_clock::now() - start < timeout) {
        mayHaveArrived = makeFailure(result.error(), implementation_->address_).reason != FailureReason::ConnectionFailed;
        client = implementation_->makeConnection();
        result = exchangeOnce();
    }
    if (!result) {
        failure = makeFailure(result.error(), implementation_->address_);
        if (failure.reason == FailureReason::ConnectionLost && std::chrono::steady_clock::now() - start >= timeout) {
            failure.reason = FailureReason::TimedOut;
        }
        delivery = failure.reason == FailureReason::ConnectionFailed && !mayHaveArrived ? Delivery::NotSent : Delivery::MaybeSent;
        return std::nullopt;
    }
    HttpReply reply;
    reply.status = result->status;
    reply.body = result->body;
    reply.exchangedBytes = computeMessageSize(request, implementation_->address_) + computeMessageSize(*result);
    reply.contentType = result->get_header_value("Content-Type");
    for (const auto &[key, value] : result->headers) {
        std::string lowerCaseKey = key;
        std::transform(lowerCaseKey.begin(), lowerCaseKey.end(), lowerCaseKey.begin(), [](unsigned char letter) {
            return std::tolower(letter);
        });
        reply.headers[lowerCaseKey] = value;
    }
    implementation_->returnConnection(std::move(client));
    return reply;
}

} // namespace auburndoor
