// Asio 1.74 uses std::exchange without including <utility>.
#include <utility>

#include "net/EventLoop.h"
#include "soak/FaultyLink.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <deque>
#include <string>
#include <vector>

namespace auburndoor {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

tcp::endpoint makeEndpoint(const Address &address)
{
    return { asio::ip::make_address(address.host), address.port };
}

} // namespace

struct FaultyLink::Impl : std::enable_shared_from_this<Impl>
{
    class Connection;

    Impl(EventLoop &loop, Address target) : loop(loop), target(std::move(target)), acceptor(loop.context())
    {
    }

    void accept();

    EventLoop &loop;
    Address target;
    tcp::acceptor acceptor;
    Mode mode = Mode::Open;
    Milliseconds delay { 0 };
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
        write(0);
        write(1);
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
    };

    bool isBlocked(std::size_t from) const
    {
        const auto mode = link_->mode;
        return mode == Mode::Stalled || (mode == Mode::NoReplies && from == 1);
    }

    void read(std::size_t from)
    {
        auto &side = sides_.at(from);
        side.socket.async_read_some(
            asio::buffer(side.buffer), [self = shared_from_this(), from](const error_code &error, std::size_t count) {
                if (error) {
                    self->close(false);
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
                              [self, from](const error_code &error, std::size_t) {
                                  auto &written = self->sides_.at(from);
                                  written.pendingData.pop_front();
                                  written.isWriting = false;
                                  if (error) {
                                      self->close(false);
                                      return;
                                  }
                                  self->write(from);
                              });
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
        self->accept();
    });
}

FaultyLink::FaultyLink(EventLoop &loop, Address target) : impl_(std::make_shared<Impl>(loop, std::move(target)))
{
    impl_->acceptor.open(tcp::v4());
    impl_->acceptor.set_option(tcp::acceptor::reuse_address(true));
    impl_->acceptor.bind({ asio::ip::make_address("127.0.0.1"), 0 });
    impl_->acceptor.listen();
    impl_->accept();
}

FaultyLink::~FaultyLink()
{
    impl_->acceptor.close();
    setMode(Mode::Reset);
}

Address FaultyLink::address() const
{
    return { "127.0.0.1", impl_->acceptor.local_endpoint().port() };
}

void FaultyLink::setMode(Mode mode, Milliseconds delay)
{
    impl_->mode = mode;
    impl_->delay = delay;
    for (const auto &known : impl_->connections) {
        if (const auto connection = known.lock()) {
            if (mode == Mode::Reset) {
                connection->close(true);
            } else {
                connection->resume();
            }
        }
    }
}

} // namespace auburndoor
