#include "fakes/RelayedFleet.h"

#include "workload/ConfirmingWorkerChannel.h"

#include <utility>

namespace auburndoor {

namespace {

constexpr Milliseconds wayThere { 2 };
// Few simulated workers stand for many, so that the connections to one of them do not bound the rate of starts.
constexpr std::size_t maxCommandConnections = 1000;

} // namespace

SimulatedChannels::SimulatedChannels(Timers &timers, SimulatedFleet &fleet)
    : connections(timers, fleet), timers_(timers), fleet_(fleet)
{
    connections.isSuspendable = true;
}

std::unique_ptr<WorkerChannel> SimulatedChannels::create(const WorkerEntry &entry, std::int64_t fencingToken)
{
    if (fleet_.createChannel) {
        return fleet_.createChannel(connections, entry, fencingToken);
    }
    return std::make_unique<ConfirmingWorkerChannel>(timers_, connections, entry, fencingToken, maxCommandConnections);
}

struct SimulatedRelays::Message
{
    std::string text;
    SendCallback callback;
    bool isFinished = false;
};

struct SimulatedRelays::Relay
{
    Relay(Timers &timers, SimulatedFleet &fleet)
        : timers(timers)
        , channels(this->timers, fleet)
        , relay(std::make_unique<WorkerRelay>(
              this->timers,
              channels,
              [] { return 0.5; },
              "z"))
    {
    }

    PausableTimers timers;
    SimulatedChannels channels;
    std::unique_ptr<WorkerRelay> relay;
    /** Messages without an answer. */
    std::vector<std::shared_ptr<Message>> open;
};

SimulatedRelays::SimulatedRelays(Timers &timers, SimulatedFleet &fleet) : timers_(timers), fleet_(fleet)
{
}

SimulatedRelays::~SimulatedRelays() = default;

void SimulatedRelays::finish(const std::shared_ptr<Message> &message, SendResult result)
{
    if (!std::exchange(message->isFinished, true)) {
        message->callback(std::move(result));
    }
}

void SimulatedRelays::deliver(Relay &relay, const std::shared_ptr<Message> &message)
{
    if (!relay.relay) {
        return;
    }
    relay.relay->serve(message->text, [this, message](int status, std::string text) {
        if (drawPercent && drawPercent() < lostAnswers) {
            return;
        }
        timers_.after(wayThere, [this, message, status, text = std::move(text)] {
            finish(message, { SendOutcome::Answered, { status, text, {} }, {} });
        });
    });
}

void SimulatedRelays::send(const Address &address, std::string text, Milliseconds timeout, SendCallback callback)
{
    ++messageCount;
    const auto message = std::make_shared<Message>(Message { std::move(text), std::move(callback) });
    const auto found = relays_.find(address);
    if (found == relays_.end()) {
        timers_.after(wayThere, [this, message] { finish(message, { SendOutcome::NotSent, {}, "refused" }); });
        return;
    }
    auto &relay = *found->second;
    std::erase_if(relay.open, [](const auto &open) { return open->isFinished; });
    relay.open.push_back(message);
    relay.timers.after(wayThere, [this, &relay, message] { deliver(relay, message); });
    timers_.after(timeout, [this, message] { finish(message, { SendOutcome::Lost, {}, "no reply in time" }); });
}

void SimulatedRelays::add(const Address &relay)
{
    relays_[relay] = std::make_unique<Relay>(timers_, fleet_);
}

void SimulatedRelays::kill(const Address &address)
{
    const auto found = relays_.find(address);
    if (found == relays_.end()) {
        return;
    }
    auto relay = std::move(found->second);
    relays_.erase(found);
    // Its actions never run: what it has not sent is gone.
    relay->timers.pause();
    relay->relay.reset();
    for (const auto &message : relay->open) {
        timers_.after(wayThere, [this, message] { finish(message, { SendOutcome::Lost, {}, "reset" }); });
    }
    killed_.push_back(std::move(relay));
}

void SimulatedRelays::pause(const Address &relay)
{
    if (const auto found = relays_.find(relay); found != relays_.end()) {
        found->second->timers.pause();
    }
}

void SimulatedRelays::resume(const Address &relay)
{
    if (const auto found = relays_.find(relay); found != relays_.end()) {
        found->second->timers.resume();
    }
}

SimulatedChannels &SimulatedRelays::channels(const Address &relay)
{
    return relays_.at(relay)->channels;
}

std::vector<Address> SimulatedRelays::members() const
{
    std::vector<Address> addresses;
    for (const auto &[address, relay] : relays_) {
        addresses.push_back(address);
    }
    return addresses;
}

} // namespace auburndoor
