#include "entry/ListenerDrain.h"

#include "net/HttpListener.h"
#include "net/Timers.h"

namespace auburndoor {

struct ListenerDrain::Impl : std::enable_shared_from_this<ListenerDrain::Impl>
{
    Impl(Timers &timers, HttpListener &clients, HttpListener &peers, ListenerDrainTiming timing)
        : timers(timers), clients(clients), peers(peers), timing(timing)
    {
    }

    /** Checks periodically whether the drain has ended. */
    void check();
    bool isFinished() const;

    Timers &timers;
    HttpListener &clients;
    HttpListener &peers;
    ListenerDrainTiming timing;
    TimePoint startTime;
    std::function<void()> done;
};

bool ListenerDrain::Impl::isFinished() const
{
    const auto elapsed = timers.now() - startTime;
    const bool isIdle = clients.openRequests() == 0 && peers.openRequests() == 0;
    return elapsed >= timing.maxDuration || (elapsed >= timing.acceptDuration && isIdle);
}

void ListenerDrain::Impl::check()
{
    if (isFinished()) {
        done();
        return;
    }
    timers.after(timing.checkInterval, [self = shared_from_this()] { self->check(); });
}

ListenerDrain::ListenerDrain(Timers &timers, HttpListener &clients, HttpListener &peers, ListenerDrainTiming timing)
    : impl_(std::make_shared<Impl>(timers, clients, peers, timing))
{
}

ListenerDrain::~ListenerDrain() = default;

void ListenerDrain::start(std::function<void()> done)
{
    impl_->startTime = impl_->timers.now();
    impl_->done = std::move(done);
    impl_->check();
}

} // namespace auburndoor
