// Asio 1.74 uses std::exchange without including <utility>.
#include <utility>

#include "net/EventLoop.h"
#include "net/HttpListener.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <optional>

namespace auburndoor {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

// Sockets with the executor's own type: the type-erased one allocates and locks more for each operation.
using LoopExecutor = asio::io_context::executor_type;
using LoopSocket = asio::basic_stream_socket<asio::ip::tcp, LoopExecutor>;

// A load peak opens many connections at once; the kernel would drop those beyond a short backlog.
constexpr int listenBacklog = 1024;

std::string toLowerCase(beast::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(), [](unsigned char character) { return std::tolower(character); });
    return result;
}

} // namespace

struct HttpListener::Impl : std::enable_shared_from_this<HttpListener::Impl>
{
    class Session;

    Impl(EventLoop &loop, HttpListenerLimits limits, HttpHandler handler)
        : loop(loop), limits(limits), handler(std::move(handler)), acceptor(loop.context().get_executor())
    {
    }

    void accept();

    EventLoop &loop;
    HttpListenerLimits limits;
    HttpHandler handler;
    asio::basic_socket_acceptor<asio::ip::tcp, LoopExecutor> acceptor;
    std::size_t openConnections = 0;
    std::size_t openRequests = 0;
};

/** One client connection. A pending read or write, or the responder of an unanswered request, keeps it alive. */
class HttpListener::Impl::Session : public HttpResponder, public std::enable_shared_from_this<Session>
{
public:
    Session(std::shared_ptr<Impl> owner, LoopSocket socket) : owner_(std::move(owner)), stream_(std::move(socket))
    {
        ++owner_->openConnections;
    }

    ~Session() override
    {
        --owner_->openConnections;
        finishRequest();
    }

    void read()
    {
        parser_.emplace();
        parser_->header_limit(static_cast<std::uint32_t>(owner_->limits.maxHeaderBytes));
        parser_->body_limit(owner_->limits.maxBodyBytes);
        stream_.expires_after(owner_->limits.idleTimeout);
        http::async_read(
            stream_, buffer_, *parser_, [self = shared_from_this()](const error_code &error, std::size_t) { self->onRead(error); });
    }

    void reply(WebReply reply) override
    {
        if (!isReplyPending_) {
            return;
        }
        finishRequest();
        response_ = {};
        response_.result(static_cast<unsigned>(reply.status));
        response_.version(11);
        if (!reply.body.empty()) {
            response_.set(http::field::content_type, "application/json");
        }
        for (const auto &[name, value] : reply.headers) {
            response_.set(name, value);
        }
        response_.body() = std::move(reply.body);
        response_.keep_alive(keepAlive_);
        response_.prepare_payload();
        stream_.expires_after(owner_->limits.transferTimeout);
        http::async_write(
            stream_, response_, [self = shared_from_this()](const error_code &error, std::size_t) { self->onWritten(error); });
    }

    void abandon() override
    {
        finishRequest();
        close();
    }

private:
    void onRead(const error_code &error)
    {
        if (error == http::error::body_limit || error == http::error::header_limit) {
            isReplyPending_ = true;
            ++owner_->openRequests;
            keepAlive_ = false;
            reply({ 413, "{\"error\":\"request too large\"}", {} });
            return;
        }
        if (error) {
            close();
            return;
        }
        auto message = parser_->release();
        keepAlive_ = message.keep_alive();
        WebRequest request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        for (const auto &field : message) {
            request.headers.emplace_back(toLowerCase(field.name_string()), std::string(field.value()));
        }
        request.body = std::move(message.body());
        isReplyPending_ = true;
        ++owner_->openRequests;
        stream_.expires_never();
        owner_->handler(std::move(request), shared_from_this());
    }

    void onWritten(const error_code &error)
    {
        if (error || !response_.keep_alive()) {
            close();
            return;
        }
        read();
    }

    /** Counts the current request as answered. */
    void finishRequest()
    {
        if (isReplyPending_) {
            isReplyPending_ = false;
            --owner_->openRequests;
        }
    }

    void close()
    {
        error_code ignored;
        stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
        stream_.close();
    }

    std::shared_ptr<Impl> owner_;
    beast::basic_stream<asio::ip::tcp, LoopExecutor> stream_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    http::response<http::string_body> response_;
    bool keepAlive_ = true;
    bool isReplyPending_ = false;
};

void HttpListener::Impl::accept()
{
    acceptor.async_accept([self = shared_from_this()](const error_code &error, LoopSocket socket) {
        if (!self->acceptor.is_open()) {
            return;
        }
        if (error) {
            // Usually the process is out of file descriptors; accepting again at once would busy-loop.
            constexpr Milliseconds acceptRetryDelay { 50 };
            self->loop.after(acceptRetryDelay, [self] { self->accept(); });
            return;
        }
        if (self->openConnections < self->limits.maxConnections) {
            error_code ignored;
            socket.set_option(asio::ip::tcp::no_delay(true), ignored);
            std::make_shared<Session>(self, std::move(socket))->read();
        }
        self->accept();
    });
}

HttpListener::HttpListener(EventLoop &loop, HttpListenerLimits limits, HttpHandler handler)
    : impl_(std::make_shared<Impl>(loop, limits, std::move(handler)))
{
}

HttpListener::~HttpListener()
{
    error_code ignored;
    impl_->acceptor.close(ignored);
}

bool HttpListener::listen(const Address &address, std::string &error)
{
    error_code code;
    const auto ip = asio::ip::make_address(address.host, code);
    if (!code) {
        impl_->acceptor.open(asio::ip::tcp::v4(), code);
    }
    if (!code) {
        impl_->acceptor.set_option(asio::socket_base::reuse_address(true), code);
    }
    if (!code) {
        impl_->acceptor.bind({ ip, address.port }, code);
    }
    if (!code) {
        impl_->acceptor.listen(listenBacklog, code);
    }
    if (code) {
        error = address.text() + ": " + code.message();
        return false;
    }
    impl_->accept();
    return true;
}

std::uint16_t HttpListener::port() const
{
    error_code ignored;
    return impl_->acceptor.local_endpoint(ignored).port();
}

std::size_t HttpListener::openConnections() const
{
    return impl_->openConnections;
}

std::size_t HttpListener::openRequests() const
{
    return impl_->openRequests;
}

} // namespace auburndoor
