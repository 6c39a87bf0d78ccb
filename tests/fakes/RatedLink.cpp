// Asio 1.74 uses std::exchange without including <utility>.
#include <utility>

#include "fakes/RatedLink.h"

#include "net/EventLoop.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace auburndoor {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr Milliseconds tick { 5 };
constexpr std::size_t maxHeldBytes = std::size_t(64) * 1024;

} // namespace

struct RatedLink::Impl : std::enable_shared_from_this<RatedLink::Impl>
{
    /** A connection of a client and the one to the target that belongs to it. */
    struct Pair
    {
        explicit Pair(asio::io_context &context) : client(context), target(context)
        {
        }

        void close()
        {
            error_code ignored;
            client.close(ignored);
            target.close(ignored);
        }

        Tcp::socket client;
        Tcp::socket target;
        std::string request = std::string(4096, '\0');
    };
    using PairPointer = std::shared_ptr<Pair>;

    Impl(EventLoop &loop, Address target, std::size_t rate)
        : loop(loop)
        , target(std::move(target))
        , rate(rate)
        , acceptor(loop.context(), Tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
    }

    void accept()
    {
        auto pair = std::make_shared<Pair>(loop.context());
        acceptor.async_accept(pair->client, [self = shared_from_this(), pair](const error_code &error) {
            if (error) {
                return;
            }
            error_code failure;
            pair->target.connect({ asio::ip::make_address(self->target.host), self->target.port }, failure);
            // Little is buffered, so that a closed connection ends the transfer.
            pair->target.set_option(asio::socket_base::receive_buffer_size(maxHeldBytes), failure);
            pair->target.non_blocking(true, failure);
            self->pairs.push_back(pair);
            self->forwardRequests(pair);
            self->accept();
        });
    }

    void forwardRequests(const PairPointer &pair)
    {
        pair->client.async_read_some(asio::buffer(pair->request),
                                     [self = shared_from_this(), pair](const error_code &error, std::size_t size) {
                                         error_code failure = error;
                                         if (!failure) {
                                             asio::write(pair->target, asio::buffer(pair->request, size), failure);
                                         }
                                         if (failure) {
                                             pair->close();
                                             std::erase(self->pairs, pair);
                                             return;
                                         }
                                         self->forwardRequests(pair);
                                     });
    }

    /** Passes on what the rate allows for the time since the last call, a share of it on each connection. */
    void run()
    {
        if (isClosed) {
            return;
        }
        const auto now = loop.now();
        const auto elapsed = std::chrono::duration<double>(now - lastRunAt).count();
        lastRunAt = now;
        const auto allowed = static_cast<std::size_t>(std::max(1.0, elapsed * static_cast<double>(rate)));
        const auto share = std::max<std::size_t>(1, allowed / std::max<std::size_t>(1, pairs.size()));
        for (const auto &pair : std::vector(pairs)) {
            std::string part(isStalled ? 0 : share, '\0');
            error_code error;
            const auto size = part.empty() ? 0 : pair->target.read_some(asio::buffer(part), error);
            if (size > 0) {
                asio::write(pair->client, asio::buffer(part, size), error);
                passedBytes += size;
            }
            if (error && error != asio::error::would_block) {
                pair->close();
                std::erase(pairs, pair);
            }
        }
        loop.after(tick, [self = shared_from_this()] { self->run(); });
    }

    EventLoop &loop;
    Address target;
    std::size_t rate;
    Tcp::acceptor acceptor;
    std::vector<PairPointer> pairs;
    TimePoint lastRunAt;
    std::size_t passedBytes = 0;
    bool isStalled = false;
    bool isClosed = false;
};

RatedLink::RatedLink(EventLoop &loop, Address target, std::size_t bytesPerSecond)
    : impl_(std::make_shared<Impl>(loop, std::move(target), bytesPerSecond))
{
    impl_->lastRunAt = loop.now();
    impl_->accept();
    impl_->run();
}

RatedLink::~RatedLink()
{
    impl_->isClosed = true;
    error_code ignored;
    impl_->acceptor.close(ignored);
    for (const auto &pair : impl_->pairs) {
        pair->close();
    }
}

Address RatedLink::address() const
{
    return { "127.0.0.1", impl_->acceptor.local_endpoint().port() };
}

std::size_t RatedLink::passedBytes() const
{
    return impl_->passedBytes;
}

void RatedLink::stall()
{
    impl_->isStalled = true;
}

} // namespace auburndoor
