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
    Impl(EventLoop &loop,
         HttpListenerLimits limits,
         HttpHandler handler,
         std::shared_ptr<ConnectionMemory> memory,
         ConnectionPurpose purpose)
        : context(std::make_shared<HttpListenerContext>(
            HttpListenerContext { loop, limits, std::move(handler), std::move(memory), purpose }))
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
    /** stopAccepting() was called: a connection that was accepted just before is still served. */
    bool isAcceptingEnded = false;
    asio::basic_socket_acceptor<asio::ip::tcp, asio::io_context::executor_type> acceptor;
};

void HttpListener::Impl::accept()
{
    acceptor.async_accept([self = shared_from_this()](const error_code &error, LoopSocket socket) {
        if (!error && (self->acceptor.is_open() || self->isAcceptingEnded)) {
            self->serve(std::move(socket));
        }
        if (!self->acceptor.is_open()) {
            return;
        }
        if (error) {
            // Usually the process is out of file descriptors; accepting again at once would busy-loop.
            constexpr Milliseconds acceptRetryDelay { 50 };
            self->context->loop.after(acceptRetryDelay, [self] { self->accept(); });
            return;
        }
        self->accept();
    });
}

void HttpListener::Impl::serve(LoopSocket socket)
{
    const auto isFull = [this] { return openConnections() >= context->limits.maxConnections; };
    if (isFull()) {
        context->closeLongestOpen();
    }
    auto session = isFull() ? nullptr : HttpSession::open(context, socket);
    if (session) {
        session->read();
        return;
    }
    if (context->memory) {
        ++context->memory->refusals.connections;
    }
    if (socket.is_open() && context->rejectedSessions < context->limits.maxRejectedConnections) {
        std::make_shared<HttpSession>(context, std::move(socket))->reject();
    }
}

HttpListener::HttpListener(EventLoop &loop,
                           HttpListenerLimits limits,
                           HttpHandler handler,
                           std::shared_ptr<ConnectionMemory> memory,
                           ConnectionPurpose purpose)
    : impl_(std::make_shared<Impl>(loop, limits, std::move(handler), std::move(memory), purpose))
{
}

HttpListener::~HttpListener()
{
    error_code ignored;
    impl_->acceptor.close(ignored);
}

void HttpListener::setHeaderCheck(HttpHeaderCheck check)
{
    impl_->context->headerCheck = std::move(check);
}

void HttpListener::setRequestTimeouts(Milliseconds headerTimeout, Milliseconds stallTimeout)
{
    impl_->context->limits.headerTimeout = headerTimeout;
    impl_->context->limits.stallTimeout = stallTimeout;
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
    if (const auto bytes = impl_->context->limits.socketBufferBytes; !code && bytes > 0) {
        // Accepted connections inherit the sizes, which limit what waits in the operating system for a client that doesn't read.
        impl_->acceptor.set_option(asio::socket_base::receive_buffer_size(bytes), code);
        impl_->acceptor.set_option(asio::socket_base::send_buffer_size(bytes), code);
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

void HttpListener::drain()
{
    impl_->context->isDraining = true;
}

void HttpListener::closeIdle(Milliseconds minimumIdle)
{
    for (auto *session : impl_->context->sessions) {
        session->closeIfIdle(minimumIdle);
    }
}

void HttpListener::stopAccepting()
{
    auto &acceptor = impl_->acceptor;
    if (!acceptor.is_open()) {
        return;
    }
    error_code error;
    acceptor.non_blocking(true, error);
    // Without this option accept() waits for another connection after one that its client has aborted.
    acceptor.set_option(asio::socket_base::enable_connection_aborted(true), error);
    for (int attempt = 0; attempt <= listenBacklog && (!error || error == asio::error::connection_aborted); ++attempt) {
        LoopSocket socket(impl_->context->loop.context().get_executor());
        acceptor.accept(socket, error);
        if (!error) {
            impl_->serve(std::move(socket));
        }
    }
    impl_->isAcceptingEnded = true;
    acceptor.close(error);
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
    load.discardedRequests = impl_->context->discardedRequests;
    for (const auto *session : impl_->context->sessions) {
        session->addTo(load);
    }
    return load;
}

} // namespace auburndoor
