// Asio 1.74 uses std::exchange without including <utility>.
#include <utility>

#include "net/EventLoop.h"
#include "net/HttpChannels.h"
#include "net/HttpStream.h"
#include "net/HttpWriter.h"

#include <boost/beast/core/error.hpp>

#include <algorithm>
#include <atomic>
#include <deque>
#include <optional>

namespace auburndoor {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

namespace {

constexpr std::size_t maxReplyHeaderBytes = std::size_t(16) * 1024;
// The largest replies are pages of encoded rows from the store.
constexpr std::size_t maxReplyBodyBytes = std::size_t(16) * 1024 * 1024;

/** Numbers are not used again for another peer or by another HttpChannels, so that a request cannot be bound to the wrong
 * connection. */
std::uint64_t nextConnectionNumber()
{
    static std::atomic<std::uint64_t> last { 0 };
    return ++last;
}

} // namespace

struct HttpChannels::Impl : std::enable_shared_from_this<HttpChannels::Impl>
{
    class Connection;

    /** A request that waits for a connection or for its reply. */
    struct PendingRequest
    {
        WebRequest request;
        TimePoint deadline;
        /** Once the reply has begun, each part of it moves the deadline to this much later, but not beyond the final one. */
        Milliseconds betweenBytes { 0 };
        TimePoint finalDeadline;
        /** The deadline on Timers::bootNow(), which advances while this machine is suspended. */
        TimePoint bootDeadline;
        SendCallback callback;
        /** The request was sent, so the peer may have received it. */
        bool maybeReceived = false;
        /** Of the last reply that has begun. */
        Milliseconds receiveDuration { 0 };
        std::size_t receivedBytes = 0;
    };

    Impl(EventLoop &loop, Address peer, HttpChannelLimits limits)
        : loop(loop), peer(std::move(peer)), peerText(this->peer.text()), limits(limits)
    {
    }

    /** Starts waiting requests in order while a connection is free or may be opened. A request past its deadline is ended. */
    void dispatch();
    void removeExpired();
    /** The connection for a request: a new one if there is room for it; null if the request has to wait. */
    std::shared_ptr<Connection> connectionFor(const WebRequest &request);
    bool isOpen(std::uint64_t connection) const;
    void removeConnection(const Connection *connection);
    void closeIdleConnections();
    /** Ends a request without a reply. */
    void finishUnanswered(PendingRequest pending, const std::string &error)
    {
        SendResult result { pending.maybeReceived ? SendOutcome::Lost : SendOutcome::NotSent, {}, error };
        result.receiveDuration = pending.receiveDuration;
        result.receivedBytes = pending.receivedBytes;
        finish(std::move(pending), std::move(result));
    }
    /** Ends a request whose connection is closed. */
    void finishUnbound(PendingRequest pending)
    {
        SendResult result { SendOutcome::NotSent, {}, "the connection for the request is closed" };
        result.isConnectionClosed = true;
        finish(std::move(pending), std::move(result));
    }
    /** Calls back on the next turn of the loop. */
    void finish(PendingRequest pending, SendResult result)
    {
        loop.after(Milliseconds(0), [callback = std::move(pending.callback), result = std::move(result)] { callback(result); });
    }

    EventLoop &loop;
    Address peer;
    std::string peerText;
    HttpChannelLimits limits;
    std::vector<std::shared_ptr<Connection>> connections;
    std::deque<PendingRequest> waiting;
};

/** One connection to the peer, which is opened for its first request. */
class HttpChannels::Impl::Connection : public std::enable_shared_from_this<Connection>
{
public:
    explicit Connection(std::shared_ptr<Impl> owner)
        : owner_(std::move(owner)), stream_(owner_->loop, [this] { onDeadline(); }), number_(nextConnectionNumber())
    {
    }

    /** SendResult::connection of its replies. */
    std::uint64_t number() const
    {
        return number_;
    }

    bool isIdle() const
    {
        return !currentRequest_;
    }

    void start(PendingRequest pending)
    {
        currentRequest_ = std::move(pending);
        isSent_ = false;
        firstBytesAt_.reset();
        isReused_ = isOpen_;
        if (isOpen_) {
            write();
            return;
        }
        stream_.deadline().set(std::min(currentRequest_->deadline, owner_->loop.now() + owner_->limits.connectTimeout));
        error_code error;
        const auto ip = asio::ip::make_address(owner_->peer.host, error);
        stream_.socket().async_connect({ ip, owner_->peer.port }, [self = shared_from_this()](const error_code &code) {
            if (code || !self->currentRequest_) {
                self->fail(code);
                return;
            }
            self->isOpen_ = true;
            self->stream_.configure();
            self->write();
        });
    }

    /** Closes the connection and ends its request, if it still has one. */
    void fail(const error_code &error)
    {
        stream_.close();
        auto self = shared_from_this();
        owner_->removeConnection(this);
        if (!currentRequest_) {
            return;
        }
        const bool isInTime = owner_->loop.now() < currentRequest_->deadline && error != asio::error::operation_aborted;
        const bool isRepeatable = currentRequest_->request.isRepeatable && currentRequest_->request.connection == 0;
        if (isReused_ && isSent_ && isInTime && isRepeatable) {
            // The peer may have closed the connection while it was idle, and the other idle connections as well.
            auto repeated = std::move(*currentRequest_);
            currentRequest_.reset();
            repeated.request.isRepeatable = false;
            repeated.maybeReceived = true;
            owner_->closeIdleConnections();
            owner_->waiting.push_front(std::move(repeated));
            owner_->dispatch();
            return;
        }
        auto pending = std::move(*currentRequest_);
        currentRequest_.reset();
        pending.maybeReceived = pending.maybeReceived || isSent_;
        owner_->finishUnanswered(std::move(pending), error.message());
        owner_->dispatch();
    }

private:
    void onDeadline()
    {
        // A loop that was busy has not read yet what arrived in time.
        const auto now = owner_->loop.now();
        if (currentRequest_ && firstBytesAt_ && currentRequest_->betweenBytes > Milliseconds(0)
            && now < currentRequest_->finalDeadline && stream_.hasUnreadSocketInput()) {
            moveDeadline();
            return;
        }
        fail(beast::error::timeout);
    }

    /** Allows the time for the next part of the reply from now on. */
    void moveDeadline()
    {
        auto &pending = *currentRequest_;
        pending.deadline = std::min(pending.finalDeadline, owner_->loop.now() + pending.betweenBytes);
        stream_.deadline().set(pending.deadline);
    }

    void write()
    {
        if (owner_->loop.bootNow() >= currentRequest_->bootDeadline) {
            // The process was suspended while the connection opened or was busy: the caller may have decided otherwise meanwhile,
            // and the peer may have restarted.
            fail(asio::error::timed_out);
            return;
        }
        auto &output = stream_.output();
        output.clear();
        appendRequest(output, currentRequest_->request, owner_->peerText);
        isSent_ = true;
        stream_.deadline().set(currentRequest_->deadline);
        stream_.write([self = shared_from_this()](const error_code &error) {
            if (error || !self->currentRequest_) {
                self->fail(error);
                return;
            }
            self->read();
        });
    }

    void read()
    {
        parser_.emplace(maxReplyHeaderBytes, maxReplyBodyBytes);
        readPart();
    }

    void readPart()
    {
        stream_.readPart(*parser_, [self = shared_from_this()](const error_code &error) {
            if (error || !self->currentRequest_) {
                self->fail(error);
                return;
            }
            self->onPart();
        });
    }

    void onPart()
    {
        auto &pending = *currentRequest_;
        const auto now = owner_->loop.now();
        firstBytesAt_ = firstBytesAt_.value_or(now);
        pending.receiveDuration = std::chrono::duration_cast<Milliseconds>(now - *firstBytesAt_);
        pending.receivedBytes = parser_->message().body.size();
        if (parser_->is_done()) {
            onReply();
            return;
        }
        if (pending.betweenBytes > Milliseconds(0)) {
            moveDeadline();
        }
        readPart();
    }

    void onReply()
    {
        auto pending = std::move(*currentRequest_);
        currentRequest_.reset();
        const auto self = shared_from_this();
        if (parser_->keep_alive()) {
            stream_.deadline().clear();
        } else {
            stream_.close();
            owner_->removeConnection(this);
        }
        SendResult result { SendOutcome::Answered, std::move(parser_->message()), {}, number_ };
        result.receiveDuration = pending.receiveDuration;
        result.receivedBytes = pending.receivedBytes;
        pending.callback(std::move(result));
        owner_->dispatch();
    }

    std::shared_ptr<Impl> owner_;
    HttpStream stream_;
    std::uint64_t number_;
    std::optional<HttpParser<false>> parser_;
    std::optional<PendingRequest> currentRequest_;
    /** When the current reply has begun. */
    std::optional<TimePoint> firstBytesAt_;
    bool isOpen_ = false;
    /** Sending the current request has begun. */
    bool isSent_ = false;
    /** The connection was already open when the current request was started. */
    bool isReused_ = false;
};

void HttpChannels::Impl::removeConnection(const Connection *connection)
{
    std::erase_if(connections, [connection](const auto &kept) { return kept.get() == connection; });
}

void HttpChannels::Impl::closeIdleConnections()
{
    std::erase_if(connections, [](const auto &connection) { return connection->isIdle(); });
}

bool HttpChannels::Impl::isOpen(std::uint64_t connection) const
{
    return std::any_of(
        connections.begin(), connections.end(), [connection](const auto &open) { return open->number() == connection; });
}

std::shared_ptr<HttpChannels::Impl::Connection> HttpChannels::Impl::connectionFor(const WebRequest &request)
{
    const auto idle = std::find_if(connections.begin(), connections.end(), [&request](const auto &connection) {
        return connection->isIdle() && (request.connection == 0 || request.connection == connection->number());
    });
    if (idle != connections.end()) {
        return *idle;
    }
    if (request.connection != 0 || connections.size() >= limits.maxConnections) {
        return nullptr;
    }
    return connections.emplace_back(std::make_shared<Connection>(shared_from_this()));
}

void HttpChannels::Impl::dispatch()
{
    while (!waiting.empty()) {
        if (waiting.front().deadline <= loop.now()) {
            finishUnanswered(std::move(waiting.front()), "no connection became free in time");
            waiting.pop_front();
            continue;
        }
        const auto bound = waiting.front().request.connection;
        if (bound != 0 && !isOpen(bound)) {
            finishUnbound(std::move(waiting.front()));
            waiting.pop_front();
            continue;
        }
        const auto connection = connectionFor(waiting.front().request);
        if (!connection) {
            return;
        }
        auto pending = std::move(waiting.front());
        waiting.pop_front();
        connection->start(std::move(pending));
    }
}

HttpChannels::HttpChannels(EventLoop &loop, Address peer, HttpChannelLimits limits)
    : impl_(std::make_shared<Impl>(loop, std::move(peer), limits))
{
}

HttpChannels::~HttpChannels()
{
    reset();
}

void HttpChannels::send(WebRequest request, Milliseconds timeout, SendCallback callback)
{
    send(std::move(request), HttpReplyTimeouts { timeout, Milliseconds(0), timeout }, std::move(callback));
}

void HttpChannels::send(WebRequest request, const HttpReplyTimeouts &timeouts, SendCallback callback)
{
    const auto now = impl_->loop.now();
    Impl::PendingRequest pending { std::move(request),
                                   now + timeouts.untilFirstByte,
                                   timeouts.betweenBytes,
                                   now + timeouts.total,
                                   impl_->loop.bootNow() + timeouts.untilFirstByte,
                                   std::move(callback) };
    if (impl_->waiting.size() >= impl_->limits.maxWaiting) {
        impl_->finishUnanswered(std::move(pending), "too many requests wait for a connection");
        return;
    }
    impl_->waiting.push_back(std::move(pending));
    impl_->dispatch();
}

void HttpChannels::reset()
{
    auto waiting = std::exchange(impl_->waiting, {});
    for (auto &pending : waiting) {
        impl_->finishUnanswered(std::move(pending), "the connections were reset");
    }
    const auto connections = std::exchange(impl_->connections, {});
    for (const auto &connection : connections) {
        connection->fail(asio::error::operation_aborted);
    }
}

const Address &HttpChannels::peer() const
{
    return impl_->peer;
}

} // namespace auburndoor
