// Asio 1.74 uses std::exchange without including <utility>.
#include <utility>

#include "crowd/Crowd.h"

#include "net/EventLoop.h"
#include "net/HttpStream.h"

#include <boost/asio/connect.hpp>

#include <algorithm>
#include <array>
#include <vector>

namespace auburndoor {

namespace asio = boost::asio;
using boost::system::error_code;

struct Crowd::Impl
{
    struct Member : std::enable_shared_from_this<Member>
    {
        Member(EventLoop &loop, std::shared_ptr<Impl> crowd) : socket(loop.context().get_executor()), crowd(std::move(crowd))
        {
        }

        void open();
        void send(const std::string &bytes, std::size_t sent);
        void sendRest();
        void read();

        LoopSocket socket;
        std::shared_ptr<Impl> crowd;
        std::size_t sentOfRest = 0;
        std::array<char, 4096> received {};
    };

    Impl(EventLoop &loop, Address target, CrowdPlan plan) : loop(loop), target(std::move(target)), plan(std::move(plan))
    {
    }

    EventLoop &loop;
    Address target;
    CrowdPlan plan;
    std::vector<std::shared_ptr<Member>> members;
    long long transferred = 0;
};

void Crowd::Impl::Member::open()
{
    socket.async_connect({ asio::ip::make_address(crowd->target.host), crowd->target.port },
                         [self = shared_from_this()](const error_code &error) {
                             if (error) {
                                 return;
                             }
                             error_code ignored;
                             self->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
                             self->send(self->crowd->plan.head, 0);
                             if (self->crowd->plan.reading != CrowdPlan::Reading::Never) {
                                 self->read();
                             }
                         });
}

void Crowd::Impl::Member::send(const std::string &bytes, std::size_t sent)
{
    if (sent == bytes.size()) {
        sendRest();
        return;
    }
    socket.async_write_some(asio::buffer(bytes) + sent,
                            [self = shared_from_this(), &bytes, sent](const error_code &error, std::size_t size) {
                                self->crowd->transferred += static_cast<long long>(size);
                                if (!error) {
                                    self->send(bytes, sent + size);
                                }
                            });
}

void Crowd::Impl::Member::sendRest()
{
    const auto &plan = crowd->plan;
    if (sentOfRest == plan.rest.size()) {
        error_code ignored;
        if (plan.endsSending) {
            socket.shutdown(LoopSocket::shutdown_send, ignored);
        }
        return;
    }
    const auto piece = std::min(plan.pieceBytes, plan.rest.size() - sentOfRest);
    socket.async_write_some(asio::buffer(plan.rest.data() + sentOfRest, piece),
                            [self = shared_from_this()](const error_code &error, std::size_t size) {
                                self->crowd->transferred += static_cast<long long>(size);
                                self->sentOfRest += size;
                                if (!error) {
                                    self->crowd->loop.after(self->crowd->plan.pause, [self] { self->sendRest(); });
                                }
                            });
}

void Crowd::Impl::Member::read()
{
    constexpr std::size_t slowReadBytes = 16;
    constexpr Milliseconds slowReadPause { 100 };
    const bool isSlow = crowd->plan.reading == CrowdPlan::Reading::Slowly;
    socket.async_read_some(asio::buffer(received.data(), isSlow ? slowReadBytes : received.size()),
                           [self = shared_from_this(), isSlow, pause = slowReadPause](const error_code &error, std::size_t size) {
                               self->crowd->transferred += static_cast<long long>(size);
                               if (!error) {
                                   self->crowd->loop.after(isSlow ? pause : Milliseconds(0), [self] { self->read(); });
                               }
                           });
}

Crowd::Crowd(EventLoop &loop, Address target, CrowdPlan plan)
    : impl_(std::make_shared<Impl>(loop, std::move(target), std::move(plan)))
{
}

Crowd::~Crowd()
{
    for (const auto &member : impl_->members) {
        error_code ignored;
        member->socket.close(ignored);
    }
    impl_->members.clear();
}

void Crowd::start()
{
    for (int number = 0; number < impl_->plan.connections; ++number) {
        impl_->members.push_back(std::make_shared<Impl::Member>(impl_->loop, impl_));
        impl_->members.back()->open();
    }
}

long long Crowd::transferred() const
{
    return impl_->transferred;
}

} // namespace auburndoor
