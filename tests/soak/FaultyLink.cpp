// Asio 1.74 uses std::exchange without including <utility>.
#include <utility>

#include "net/EventLoop.h"
#include "soak/FaultyLink.h"
#include "soak/LoopbackAddress.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace auburndoor {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

/** The number of the loopback address of all links of this test program; those of the entry processes begin with 10. */
constexpr int linkAddressNumber = 9;

tcp::endpoint makeEndpoint(const Address &address)
{
    return { asio::ip::make_address(address.host), address.port };
}

} // namespace

struct FaultyLink::Impl : std::enable_shared_from_this<Impl>
{
    class Connection;

    /** What becomes of new connections. */
    enum class Listening {
        Accepting,
        /** Attempts to connect get no answer. */
        Unanswered,
        /** Attempts to connect are refused. */
        Off,
    };

    Impl(EventLoop &loop, Address target) : loop(loop), target(std::move(target)), acceptor(loop.context())
    {
    }

    void accept();
    void setListening(Listening next);
    /** Binds the acceptor. */
    void open(const tcp::endpoint &local);

    EventLoop &loop;
    Address target;
    tcp::acceptor acceptor;
    Mode mode = Mode::Open;
    Milliseconds delay { 0 };
    std::function<Milliseconds()> drawLateDelay;
    Listening listening = Listening::Off;
    tcp::endpoint endpoint;
    /** Fills the queue of connections to accept while none is accepted. */
    std::optional<tcp::socket> queued;
    std::vector<std::weak_ptr<Connection>> connections;
};

/** An accepted connection and the matching connection to the target. */
class FaultyLink::Impl::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(std::shared_ptr<Impl> link, tcp::socket socket)
        : link_(std::move(link)), sides_ { Side(std::move(socket)), Side(tcp::socket(link_->loop.context())) }
    {
    }

    void start()
    {
        sides_[1].socket.async_connect(makeEndpoint(link_->target), [self = shared_from_this()](const error_code &error) {
            if (error) {
                self->close(true);
                return;
            }
            self->read(0);
            self->read(1);
        });
    }

    void close(bool isReset)
    {
        for (auto &side : sides_) {
            error_code ignored;
            if (isReset) {
                side.socket.set_option(asio::socket_base::linger(true, 0), ignored);
            }
            side.socket.close(ignored);
        }
    }

    /** Forwards data that was held back, unless the mode still forbids it. */
    void resume()
    {
        for (const std::size_t from : { std::size_t(0), std::size_t(1) }) {
            auto &side = sides_.at(from);
            if (link_->drawLateDelay && !side.isWriting && !isBlocked(from)) {
                const auto time = link_->loop.now() + link_->drawLateDelay();
                for (auto &data : side.pendingData) {
                    data.first = std::max(data.first, time);
                }
            }
            write(from);
        }
    }

private:
    /** A socket and the data read from it that is still to be written to the other socket, each with its earliest time. */
    struct Side
    {
        explicit Side(tcp::socket from) : socket(std::move(from))
        {
        }

        tcp::socket socket;
        std::array<char, 16384> buffer {};
        std::deque<std::pair<TimePoint, std::string>> pendingData;
        bool isWriting = false;
        /** Nothing more arrives from the socket; the data that it has sent is still delivered. */
        bool hasEnded = false;
    };

    bool isBlocked(std::size_t from) const
    {
        const auto mode = link_->mode;
        const bool isOneWay = mode == Mode::NoReplies || mode == Mode::OneWay;
        return mode == Mode::Stalled || mode == Mode::Unreachable || (isOneWay && from == 1);
    }

    void onReadFailed(std::size_t from)
    {
        auto &side = sides_.at(from);
        side.hasEnded = true;
        if (!link_->drawLateDelay || side.pendingData.empty()) {
            close(false);
        }
    }

    void onWritten(std::size_t from, const error_code &error)
    {
        // The target reads what has arrived before it learns of the end.
        constexpr Milliseconds closeDelay { 100 };
        auto &side = sides_.at(from);
        side.pendingData.pop_front();
        side.isWriting = false;
        if (error) {
            close(false);
        } else if (side.hasEnded && side.pendingData.empty()) {
            link_->loop.after(closeDelay, [self = shared_from_this()] { self->close(false); });
        } else {
            write(from);
        }
    }

    void read(std::size_t from)
    {
        auto &side = sides_.at(from);
        side.socket.async_read_some(
            asio::buffer(side.buffer), [self = shared_from_this(), from](const error_code &error, std::size_t count) {
                if (error) {
                    self->onReadFailed(from);
                    return;
                }
                auto &read = self->sides_.at(from);
                const auto wait = self->link_->mode == Mode::Delayed ? self->link_->delay : Milliseconds(0);
                read.pendingData.emplace_back(self->link_->loop.now() + wait, std::string(read.buffer.data(), count));
                self->write(from);
                self->read(from);
            });
    }

    void write(std::size_t from)
    {
        auto &side = sides_.at(from);
        if (side.isWriting || side.pendingData.empty() || isBlocked(from)) {
            return;
        }
        side.isWriting = true;
        const auto wait = std::chrono::ceil<Milliseconds>(side.pendingData.front().first - link_->loop.now());
        link_->loop.after(std::max(wait, Milliseconds(0)), [self = shared_from_this(), from] {
            auto &ready = self->sides_.at(from);
            if (self->isBlocked(from)) {
                ready.isWriting = false;
                return;
            }
            asio::async_write(self->sides_.at(1 - from).socket,
                              asio::buffer(ready.pendingData.front().second),
                              [self, from](const error_code &error, std::size_t) { self->onWritten(from, error); });
        });
    }

    std::shared_ptr<Impl> link_;
    std::array<Side, 2> sides_;
};

void FaultyLink::Impl::accept()
{
    acceptor.async_accept([self = shared_from_this()](const error_code &error, tcp::socket socket) {
        if (error) {
            return;
        }
        auto connection = std::make_shared<Connection>(self, std::move(socket));
        if (self->mode == Mode::Reset) {
            connection->close(true);
        } else {
            std::erase_if(self->connections, [](const auto &known) { return known.expired(); });
            self->connections.push_back(connection);
            connection->start();
        }
        if (self->listening == Listening::Accepting) {
            self->accept();
        }
    });
}

void FaultyLink::Impl::setListening(Listening next)
{
    if (listening == next) {
        return;
    }
    listening = next;
    error_code ignored;
    queued.reset();
    if (next == Listening::Off) {
        // A socket that is bound and does not listen keeps the port from others.
        acceptor.close(ignored);
        open(endpoint);
        return;
    }
    if (next == Listening::Accepting) {
        acceptor.listen(asio::socket_base::max_listen_connections, ignored);
        accept();
        return;
    }
    // Linux drops further attempts to connect once the queue holds more connections than the backlog.
    acceptor.cancel(ignored);
    acceptor.listen(0, ignored);
    queued.emplace(loop.context());
    queued->async_connect(endpoint, [](const error_code &) {});
}

void FaultyLink::Impl::open(const tcp::endpoint &local)
{
    acceptor.open(tcp::v4());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(local);
    endpoint = acceptor.local_endpoint();
}

FaultyLink::FaultyLink(EventLoop &loop, Address target) : impl_(std::make_shared<Impl>(loop, std::move(target)))
{
    impl_->open({ asio::ip::make_address(makeLoopbackAddress(linkAddressNumber)), 0 });
    impl_->setListening(Impl::Listening::Accepting);
}

FaultyLink::~FaultyLink()
{
    setMode(Mode::Refused);
    error_code ignored;
    impl_->acceptor.close(ignored);
}

Address FaultyLink::address() const
{
    return { impl_->endpoint.address().to_string(), impl_->endpoint.port() };
}

FaultyLink::Mode FaultyLink::mode() const
{
    return impl_->mode;
}

void FaultyLink::setMode(Mode mode, Milliseconds delay)
{
    impl_->mode = mode;
    impl_->delay = delay;
    const bool isUnanswered = mode == Mode::Unreachable || mode == Mode::OneWay;
    impl_->setListening(mode == Mode::Refused ? Impl::Listening::Off
                        : isUnanswered        ? Impl::Listening::Unanswered
                                              : Impl::Listening::Accepting);
    for (const auto &known : impl_->connections) {
        if (const auto connection = known.lock()) {
            if (mode == Mode::Reset || mode == Mode::Refused) {
                connection->close(true);
            } else {
                connection->resume();
            }
        }
    }
}

void FaultyLink::deliverLate(std::function<Milliseconds()> drawDelay)
{
    impl_->drawLateDelay = std::move(drawDelay);
}

} // namespace auburndoor
