#include "http/HttpClient.h"

#include "core/Failure.h"

#include <httplib.h>

#include <algorithm>
#include <mutex>

namespace auburndoor {

namespace {

constexpr int maxAddressPort = 65535;

Failure failureOf(httplib::Error error, const std::string &address)
{
    Failure failure { Step::None, address, Reason::ConnectionLost, httplib::to_string(error) };
    if (error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout
        || error == httplib::Error::BindIPAddress) {
        failure.reason = Reason::ConnectionFailed;
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

    /** An idle connection, or a new one. */
    std::unique_ptr<httplib::Client> take(bool &isFresh)
    {
        {
            const std::lock_guard lock(mutex_);
            if (!idle_.empty()) {
                auto client = std::move(idle_.back());
                idle_.pop_back();
                isFresh = false;
                return client;
            }
        }
        isFresh = true;
        return makeFresh();
    }

    std::unique_ptr<httplib::Client> makeFresh() const
    {
        auto client = std::make_unique<httplib::Client>(host_, port_ > 0 && port_ <= maxAddressPort ? port_ : 1);
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
        return client;
    }

    void putBack(std::unique_ptr<httplib::Client> client)
    {
        const std::lock_guard lock(mutex_);
        if (idle_.size() < connectionLimit_) {
            idle_.push_back(std::move(client));
        }
    }

    std::string address_;

private:
    std::size_t connectionLimit_;
    std::string host_;
    int port_ = 0;
    std::mutex mutex_;
    std::vector<std::unique_ptr<httplib::Client>> idle_;
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
    bool isFresh = false;
    auto client = implementation_->take(isFresh);
    const auto exchangeOnce = [&] {
        client->set_connection_timeout(timeout);
        client->set_read_timeout(timeout);
        client->set_write_timeout(timeout);
        return client->send(request);
    };
    const auto start = std::chrono::steady_clock::now();
    auto result = exchangeOnce();
    bool mayHaveArrived = false;
    if (!result && !isFresh && isRepeatable && std::chrono::steady_clock::now() - start < timeout) {
        mayHaveArrived = failureOf(result.error(), implementation_->address_).reason != Reason::ConnectionFailed;
        client = implementation_->makeFresh();
        result = exchangeOnce();
    }
    if (!result) {
        failure = failureOf(result.error(), implementation_->address_);
        if (failure.reason == Reason::ConnectionLost && std::chrono::steady_clock::now() - start >= timeout) {
            failure.reason = Reason::TimedOut;
        }
        delivery = failure.reason == Reason::ConnectionFailed && !mayHaveArrived ? Delivery::NotSent : Delivery::MaybeSent;
        return std::nullopt;
    }
    HttpReply reply;
    reply.status = result->status;
    reply.body = result->body;
    reply.contentType = result->get_header_value("Content-Type");
    for (const auto &[key, value] : result->headers) {
        std::string lowered = key;
        std::transform(lowered.begin(), lowered.end(), lowered.begin(), [](unsigned char letter) { return std::tolower(letter); });
        reply.headers[lowered] = value;
    }
    implementation_->putBack(std::move(client));
    return reply;
}

} // namespace auburndoor
