#pragma once

#include "entry/RelayTransport.h"
#include "entry/WorkerRelay.h"
#include "fakes/PausableTimers.h"
#include "fakes/SimulatedConnections.h"

#include <map>
#include <memory>
#include <vector>

namespace auburndoor {

/** Channels to simulated workers, as one process opens them; made by SimulatedFleet::createChannel if there is one. */
class SimulatedChannels : public WorkerChannelFactory
{
public:
    SimulatedChannels(Timers &timers, SimulatedFleet &fleet);

    std::unique_ptr<WorkerChannel> create(const WorkerEntry &entry, std::int64_t fencingToken) override;

    SimulatedConnections connections;

private:
    Timers &timers_;
    SimulatedFleet &fleet_;
};

/** Relays in memory and the network that leads to them. */
class SimulatedRelays : public RelayTransport
{
public:
    SimulatedRelays(Timers &timers, SimulatedFleet &fleet);
    ~SimulatedRelays() override;

    void send(const Address &relay, std::string message, Milliseconds timeout, SendCallback callback) override;

    /** Starts a relay, also in place of one that was killed. */
    void add(const Address &relay);
    /** Ends a relay: its connections are reset, and commands that it has not sent are gone. */
    void kill(const Address &relay);
    /** Suspends a relay; what arrives waits at it. */
    void pause(const Address &relay);
    void resume(const Address &relay);
    /** The channels of a relay to the workers. */
    SimulatedChannels &channels(const Address &relay);
    std::vector<Address> members() const;

    int messageCount = 0;
    /** An answer of a relay is lost with this probability, in percent; drawn by drawPercent. */
    int lostAnswers = 0;
    std::function<int()> drawPercent;

private:
    struct Message;
    struct Relay;

    void finish(const std::shared_ptr<Message> &message, SendResult result);
    /** The relay receives a message. */
    void deliver(Relay &relay, const std::shared_ptr<Message> &message);

    Timers &timers_;
    SimulatedFleet &fleet_;
    std::map<Address, std::unique_ptr<Relay>> relays_;
    /** Killed relays, which callbacks still refer to. */
    std::vector<std::unique_ptr<Relay>> killed_;
};

} // namespace auburndoor
