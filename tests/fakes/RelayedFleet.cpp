#include "fakes/RelayedFleet.h"

#include "workload/ConfirmingWorkerChannel.h"

#include <utility>

namespace auburndoor {

namespace {

constexpr Milliseconds wayThere { 2 };
constexpr Milliseconds givenUpAfter { 400 };
constexpr Milliseconds waitStep { 10 };

Milliseconds workerClock(const Timers &timers)
{
    return std::chrono::duration_cast<Milliseconds>(timers.now().time_since_epoch());
}

} // namespace

class SimulatedChannels::Channel : public WorkerChannel
{
public:
    Channel(SimulatedChannels &factory, std::string id, std::int64_t token)
        : factory_(factory), id_(std::move(id)), token_(token), connectedLife_(factory.fleet_.worker(id_).entry().incarnation)
    {
    }

    void start(const StartCommand &command, Milliseconds deadline, WorkerClient::CommandCallback callback) override
    {
        deliver(
            [&fleet = factory_.fleet_, id = id_, token = token_, command, deadline] {
                auto &worker = fleet.worker(id);
                const auto before = worker.runs().size();
                const auto outcome = worker.start(command, TimePoint() + deadline, token);
                if (worker.runs().size() > before && fleet.onStarted) {
                    fleet.onStarted(worker, command);
                }
                return outcome;
            },
            std::move(callback));
    }

    void stop(const TaskName &task, std::int64_t attempt, WorkerClient::CommandCallback callback) override
    {
        deliver(
            [&fleet = factory_.fleet_, id = id_, token = token_, task, attempt] {
                return fleet.worker(id).stop(task, attempt, token);
            },
            std::move(callback));
    }

    void throttle(const TaskName &, std::int64_t, int, WorkerClient::CommandCallback callback) override
    {
        deliver([] { return CommandOutcome::Accepted; }, std::move(callback));
    }

    void readReport(const ReportRequest &request, WorkerClient::ReportCallback callback) override
    {
        ++factory_.sentCount;
        auto &timers = factory_.timers_;
        const auto incarnation = factory_.fleet_.worker(id_).entry().incarnation;
        if (std::exchange(connectedLife_, incarnation) != incarnation) {
            timers.after(wayThere, [callback = std::move(callback)] { callback({ CommandOutcome::Unknown, "reset" }, {}); });
            return;
        }
        if (factory_.fleet_.worker(id_).isCutOff || factory_.isCutOff) {
            timers.after(request.maxWait + givenUpAfter, [callback = std::move(callback)] {
                callback({ CommandOutcome::Unknown, "cut" }, {});
            });
            return;
        }
        const auto until = timers.now() + request.maxWait;
        timers.after(
            wayThere,
            [&timers, &factory = factory_, id = id_, token = token_, sentAt = timers.now(), request, until, incarnation, callback] {
                if (timers.now() - sentAt >= request.maxWait + givenUpAfter) {
                    timers.after(Milliseconds(0), [callback] { callback({ CommandOutcome::NotSent, "too late" }, {}); });
                    return;
                }
                waitForEnd(factory, id, token, request, until, incarnation, callback);
            });
    }

    void update(const WorkerEntry &) override
    {
    }

private:
    static void waitForEnd(SimulatedChannels &factory,
                           const std::string &id,
                           std::int64_t token,
                           const ReportRequest &request,
                           TimePoint until,
                           std::int64_t incarnation,
                           const WorkerClient::ReportCallback &callback)
    {
        auto &worker = factory.fleet_.worker(id);
        auto &timers = factory.timers_;
        if (worker.entry().incarnation != incarnation) {
            callback({ CommandOutcome::Unknown, "reset" }, {});
            return;
        }
        TaskReport report;
        const auto deadline = request.deadline ? std::optional(TimePoint() + *request.deadline) : std::nullopt;
        const auto outcome = worker.renewLeases(request.acknowledged, deadline, token, report);
        const bool isSilent = worker.isCutOff || factory.isCutOff;
        if (outcome == CommandOutcome::Accepted && report.ended.empty() && timers.now() < until && !isSilent) {
            timers.after(waitStep, [&factory, id, token, until, incarnation, callback] {
                waitForEnd(factory, id, token, {}, until, incarnation, callback);
            });
            return;
        }
        if (isSilent) {
            timers.after(givenUpAfter, [callback] { callback({ CommandOutcome::Unknown, "cut" }, {}); });
            return;
        }
        timers.after(wayThere, [callback, outcome, report, clock = workerClock(timers)] {
            callback({ outcome, {}, clock }, report);
        });
    }

    void deliver(std::function<CommandOutcome()> action, WorkerClient::CommandCallback callback)
    {
        ++factory_.sentCount;
        auto &timers = factory_.timers_;
        auto &fleet = factory_.fleet_;
        const auto fault = fleet.drawFault ? fleet.drawFault() : CommandFault();
        const bool isCutOff = fleet.worker(id_).isCutOff || factory_.isCutOff;
        if (isCutOff || fault.kind == CommandFault::Kind::Late) {
            if (!isCutOff) {
                timers.after(fault.late, [&fleet, id = id_, incarnation = fleet.worker(id_).entry().incarnation, action] {
                    if (fleet.worker(id).entry().incarnation == incarnation) {
                        action();
                    }
                });
            }
            timers.after(givenUpAfter, [callback = std::move(callback)] { callback({ CommandOutcome::Unknown, "no answer" }); });
            return;
        }
        timers.after(wayThere, [&timers, fault, sentAt = timers.now(), action = std::move(action), callback = std::move(callback)] {
            if (timers.now() - sentAt >= givenUpAfter) {
                // The process was suspended before the connection had opened: HttpChannels does not send the request any more.
                timers.after(Milliseconds(0), [callback] { callback({ CommandOutcome::NotSent, "too late" }); });
                return;
            }
            const auto outcome = action();
            const bool isLost = fault.kind == CommandFault::Kind::AnswerLost;
            const auto clock = isLost ? std::nullopt : std::optional(workerClock(timers));
            timers.after(isLost ? givenUpAfter : wayThere, [callback, outcome, isLost, clock] {
                callback({ isLost ? CommandOutcome::Unknown : outcome, {}, clock });
            });
        });
    }

    SimulatedChannels &factory_;
    std::string id_;
    std::int64_t token_;
    std::int64_t connectedLife_ = 0;
};

SimulatedChannels::SimulatedChannels(Timers &timers, SimulatedFleet &fleet) : timers_(timers), fleet_(fleet)
{
}

std::unique_ptr<WorkerChannel> SimulatedChannels::create(const WorkerEntry &entry, std::int64_t fencingToken)
{
    return std::make_unique<ConfirmingWorkerChannel>(std::make_unique<Channel>(*this, entry.id, fencingToken));
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
