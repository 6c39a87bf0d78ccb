#include "entry/ListenerDrain.h"

#include "net/HttpListener.h"
#include "net/Timers.h"

namespace auburndoor {

struct ListenerDrain::Impl : std::enable_shared_from_this<ListenerDrain::Impl>
{
    Impl(Timers &timers,
         HttpListener &clients,
         HttpListener &peers,
         ListenerDrainTiming timing,
         std::function<bool()> arePeersServed)
        : timers(timers), clients(clients), peers(peers), timing(timing), arePeersServed(std::move(arePeersServed))
    {
    }

    /** Checks periodically whether the drain has ended. */
    void check();
    bool isFinished() const;
    bool areClientsDone() const
    {
        return elapsed() >= timing.acceptDuration && clients.openRequests() == 0 && clients.openConnections() == 0;
    }
    void closeClients();
    void closePeers();
    Milliseconds elapsed() const
    {
        return std::chrono::duration_cast<Milliseconds>(timers.now() - startTime);
    }
    bool isNearEnd() const
    {
        return elapsed() >= timing.maxDuration - timing.finalCloseLead;
    }

    Timers &timers;
    HttpListener &clients;
    HttpListener &peers;
    ListenerDrainTiming timing;
    std::function<bool()> arePeersServed;
    TimePoint startTime;
    /** The connections of other processes are being ended. */
    bool isPeerServiceOver = false;
    std::function<void()> done;
};

bool ListenerDrain::Impl::isFinished() const
{
    return elapsed() >= timing.maxDuration || (isPeerServiceOver && areClientsDone() && peers.openRequests() == 0);
}

void ListenerDrain::Impl::closeClients()
{
    if (elapsed() >= timing.acceptDuration || isNearEnd()) {
        clients.stopAccepting();
    }
    if (isNearEnd()) {
        clients.closeIdle(Milliseconds(0));
    } else if (elapsed() >= timing.acceptDuration - timing.idleCloseLead) {
        clients.closeIdle(timing.minimumIdle);
    }
}

void ListenerDrain::Impl::closePeers()
{
    const bool mayEnd = areClientsDone() && !(arePeersServed && arePeersServed());
    if (!isPeerServiceOver && !mayEnd && !isNearEnd()) {
        return;
    }
    isPeerServiceOver = true;
    peers.drain();
    peers.stopAccepting();
    peers.closeIdle(Milliseconds(0));
}

void ListenerDrain::Impl::check()
{
    closeClients();
    if (isFinished()) {
        done();
        return;
    }
    // Finished at the next check at the earliest, so that other processes notice the end of their connections before the exit.
    closePeers();
    timers.after(timing.checkInterval, [self = shared_from_this()] { self->check(); });
}

ListenerDrain::ListenerDrain(Timers &timers,
                             HttpListener &clients,
                             HttpListener &peers,
                             ListenerDrainTiming timing,
                             std::function<bool()> arePeersServed)
    : impl_(std::make_shared<Impl>(timers, clients, peers, timing, std::move(arePeersServed)))
{
}

ListenerDrain::~ListenerDrain() = default;

void ListenerDrain::start(std::function<void()> done)
{
    impl_->clients.drain();
    impl_->startTime = impl_->timers.now();
    impl_->done = std::move(done);
    impl_->check();
}

} // namespace auburndoor
