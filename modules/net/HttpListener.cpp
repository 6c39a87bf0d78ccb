// Asio 1.74 uses std::exchange without including <utility>.
#include <utility>

#include "net/EventLoop.h"
#include "net/HttpListener.h"
#include "net/HttpListenerContext.h"
#include "net/HttpSession.h"

namespace auburndoor {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// A load peak opens many connections at once; the kernel would drop those beyond a short backlog.
constexpr int listenBacklog = 1024;

} // namespace

struct HttpListener::Impl : std::enable_shared_from_this<HttpListener::Impl>
{
    Impl(EventLoop &loop, HttpListenerLimits limits, HttpHandler handler)
        : context(std::make_shared<HttpListenerContext>(HttpListenerContext { loop, limits, std::move(handler), {}, 0, 0 }))
        , acceptor(loop.context().get_executor())
    {
    }

    void accept();
    /** Serves a connection, or rejects it if there are too many. */
    void serve(LoopSocket socket);
    std::size_t openConnections() const
    {
        return context->sessions.size() - context->rejectedSessions;
    }

    std::shared_ptr<HttpListenerContext> context;
    asio::basic_socket_acceptor<asio::ip::tcp, asio::io_context::executor_type> acceptor;
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
            self->context->loop.after(acceptRetryDelay, [self] { self->accept(); });
            return;
        }
        self->serve(std::move(socket));
        self->accept();
    });
}

void HttpListener::Impl::serve(LoopSocket socket)
{
    if (openConnections() < context->limits.maxConnections) {
        std::make_shared<HttpSession>(context, std::move(socket))->read();
    } else if (context->rejectedSessions < context->limits.maxRejectedConnections) {
        std::make_shared<HttpSession>(context, std::move(socket))->reject();
    }
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
    return impl_->openConnections();
}

std::size_t HttpListener::openRequests() const
{
    return impl_->context->openRequests;
}

HttpListenerLoad HttpListener::load() const
{
    HttpListenerLoad load;
    for (const auto *session : impl_->context->sessions) {
        session->addTo(load);
    }
    return load;
}

} // namespace auburndoor
