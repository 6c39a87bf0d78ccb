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

tcp::endpoint endpointOf(const Address &address)
{
    return { asio::ip::make_address(address.host), address.port };
}

} // namespace

struct FaultyLink::Impl : std::enable_shared_from_this<Impl>
{
    class Pipe;

    Impl(EventLoop &loop, Address target) : loop(loop), target(std::move(target)), acceptor(loop.context())
    {
    }

    void accept();

    EventLoop &loop;
    Address target;
    tcp::acceptor acceptor;
    Mode mode = Mode::Open;
    Milliseconds delay { 0 };
    std::vector<std::weak_ptr<Pipe>> pipes;
};

/** One connection and the one that it is carried on to. */
class FaultyLink::Impl::Pipe : public std::enable_shared_from_this<Pipe>
{
public:
    Pipe(std::shared_ptr<Impl> link, tcp::socket socket)
        : link_(std::move(link)), sides_ { Side(std::move(socket)), Side(tcp::socket(link_->loop.context())) }
    {
    }

    void start()
    {
        sides_[1].socket.async_connect(endpointOf(link_->target), [self = shared_from_this()](const error_code &error) {
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

    /** Passes on what was held back. */
    void resume()
    {
        write(0);
        write(1);
    }

private:
    /** A socket, what was read from it, and whether that is on its way to the other one. */
    struct Side
    {
        explicit Side(tcp::socket from) : socket(std::move(from))
        {
        }

        tcp::socket socket;
        std::array<char, 16384> buffer {};
        std::deque<std::pair<TimePoint, std::string>> held;
        bool isWriting = false;
    };

    bool isHeldBack(std::size_t from) const
    {
        const auto mode = link_->mode;
        return mode == Mode::Silent || (mode == Mode::NoReplies && from == 1);
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
                const auto wait = self->link_->mode == Mode::Slow ? self->link_->delay : Milliseconds(0);
                read.held.emplace_back(self->link_->loop.now() + wait, std::string(read.buffer.data(), count));
                self->write(from);
                self->read(from);
            });
    }

    void write(std::size_t from)
    {
        auto &side = sides_.at(from);
        if (side.isWriting || side.held.empty() || isHeldBack(from)) {
            return;
        }
        side.isWriting = true;
        const auto wait = std::chrono::ceil<Milliseconds>(side.held.front().first - link_->loop.now());
        link_->loop.after(std::max(wait, Milliseconds(0)), [self = shared_from_this(), from] {
            auto &ready = self->sides_.at(from);
            if (self->isHeldBack(from)) {
                ready.isWriting = false;
                return;
            }
            asio::async_write(self->sides_.at(1 - from).socket,
                              asio::buffer(ready.held.front().second),
                              [self, from](const error_code &error, std::size_t) {
                                  auto &written = self->sides_.at(from);
                                  written.held.pop_front();
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
        auto pipe = std::make_shared<Pipe>(self, std::move(socket));
        if (self->mode == Mode::Reset) {
            pipe->close(true);
        } else {
            std::erase_if(self->pipes, [](const auto &known) { return known.expired(); });
            self->pipes.push_back(pipe);
            pipe->start();
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
    for (const auto &known : impl_->pipes) {
        if (const auto pipe = known.lock()) {
            if (mode == Mode::Reset) {
                pipe->close(true);
            } else {
                pipe->resume();
            }
        }
    }
}

} // namespace auburndoor
