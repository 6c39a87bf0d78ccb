// Asio 1.74 uses std::exchange without including <utility>.
#include <utility>

#include "net/EventLoop.h"
#include "net/HttpListener.h"
#include "net/HttpStream.h"
#include "net/HttpWriter.h"

#include <algorithm>
#include <optional>
#include <unordered_set>

namespace auburndoor {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

// A load peak opens many connections at once; the kernel would drop those beyond a short backlog.
constexpr int listenBacklog = 1024;

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
    asio::basic_socket_acceptor<asio::ip::tcp, asio::io_context::executor_type> acceptor;
    std::unordered_set<Session *> sessions;
    std::size_t openRequests = 0;
};

/** One client connection. A pending read or write, or the responder of an unanswered request, keeps it alive. */
class HttpListener::Impl::Session : public HttpResponder, public std::enable_shared_from_this<Session>
{
public:
    Session(std::shared_ptr<Impl> owner, LoopSocket socket)
        : owner_(std::move(owner)), stream_(std::move(socket), owner_->loop, [this] { close(); })
    {
        stream_.configure();
        owner_->sessions.insert(this);
    }

    ~Session() override
    {
        owner_->sessions.erase(this);
        finishRequest();
    }

    void read()
    {
        isWriting_ = false;
        busySince_ = owner_->loop.now();
        parser_.emplace(owner_->limits.maxHeaderBytes, owner_->limits.maxBodyBytes);
        stream_.deadline().set(owner_->loop.now() + owner_->limits.idleTimeout);
        if (stream_.hasInput()) {
            // On the next turn, so that a series of requests that arrived together doesn't nest their handlers.
            asio::post(owner_->loop.context(), [self = shared_from_this()] { self->readRest(); });
            return;
        }
        readRest();
    }

    void reply(WebReply reply) override
    {
        if (!isReplyPending_) {
            return;
        }
        finishRequest();
        isWriting_ = true;
        auto &output = stream_.output();
        output.clear();
        appendReply(output, reply, keepAlive_);
        stream_.deadline().set(owner_->loop.now() + owner_->limits.transferTimeout);
        stream_.write([self = shared_from_this()](const error_code &error) { self->onWritten(error); });
    }

    void abandon() override
    {
        finishRequest();
        close();
    }

    /** Adds this connection to the counts. */
    void addTo(HttpListenerLoad &load)
    {
        error_code ignored;
        if (!stream_.socket().is_open()) {
            return;
        }
        if (isReplyPending_) {
            ++load.openRequests;
        } else if (isWriting_) {
            ++load.unwrittenReplies;
        } else if (parser_->got_some() || stream_.hasInput() || stream_.socket().available(ignored) > 0) {
            ++load.partialRequests;
        } else {
            ++load.idleConnections;
            return;
        }
        load.oldestAge = std::max(load.oldestAge, std::chrono::duration_cast<Milliseconds>(owner_->loop.now() - busySince_));
    }

private:
    void readRest()
    {
        error_code error;
        stream_.parse(*parser_, error);
        if (error || parser_->is_done()) {
            onRead(error);
            return;
        }
        stream_.read(*parser_, [self = shared_from_this()](const error_code &error) { self->onRead(error); });
    }

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
        keepAlive_ = parser_->keep_alive();
        isReplyPending_ = true;
        ++owner_->openRequests;
        busySince_ = owner_->loop.now();
        stream_.deadline().clear();
        owner_->handler(std::move(parser_->message()), shared_from_this());
    }

    void onWritten(const error_code &error)
    {
        if (error || !keepAlive_) {
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
    HttpStream stream_;
    std::optional<HttpParser<true>> parser_;
    bool keepAlive_ = true;
    bool isReplyPending_ = false;
    bool isWriting_ = false;
    /** When the current request was read in full, or when the connection became ready for it. */
    TimePoint busySince_;
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
        if (self->sessions.size() < self->limits.maxConnections) {
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
    return impl_->sessions.size();
}

std::size_t HttpListener::openRequests() const
{
    return impl_->openRequests;
}

HttpListenerLoad HttpListener::load() const
{
    HttpListenerLoad load;
    for (auto *session : impl_->sessions) {
        session->addTo(load);
    }
    return load;
}

} // namespace auburndoor
