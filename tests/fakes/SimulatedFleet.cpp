#include "fakes/SimulatedConnections.h"
#include "fakes/SimulatedWorker.h"
#include "workload/ConfirmingWorkerChannel.h"
#include "workload/LeasedWorkerClient.h"

#include <utility>

namespace auburndoor {

SimulatedFleet::SimulatedFleet(Timers &timers)
    : timers_(timers), connections_(std::make_unique<SimulatedConnections>(timers, *this))
{
    connections_->deliverReply = [this](std::int64_t token, std::function<void()> reply) {
        if (deliverReply) {
            deliverReply(token, std::move(reply));
        } else {
            reply();
        }
    };
}

SimulatedFleet::~SimulatedFleet() = default;

SimulatedWorker &SimulatedFleet::add(const WorkerEntry &entry, SimulatedWorker::Plan plan)
{
    auto &slot = workers_[entry.id];
    slot = std::make_unique<SimulatedWorker>(timers_, entry, std::move(plan));
    slot->onDoneAcknowledged = [this](const TaskName &task, TimePoint endedAt) {
        if (onDoneAcknowledged) {
            onDoneAcknowledged(task, endedAt);
        }
    };
    slot->onEnded = [this, worker = slot.get()](const EndedTask &ended, TimePoint endedAt) {
        if (onEnded) {
            onEnded(*worker, ended, endedAt);
        }
    };
    return *slot;
}

SimulatedWorker &SimulatedFleet::worker(const std::string &id)
{
    return *workers_.at(id);
}

std::map<std::string, std::unique_ptr<SimulatedWorker>> &SimulatedFleet::workers()
{
    return workers_;
}

std::unique_ptr<WorkerClient> SimulatedFleet::create(const WorkerEntry &entry, std::int64_t fencingToken)
{
    // Few simulated workers stand for many, so that the connections to one of them do not bound the rate of starts.
    constexpr std::size_t maxCommandConnections = 1000;
    auto channel = createChannel ? createChannel(*connections_, entry, fencingToken)
                                 : std::make_unique<ConfirmingWorkerChannel>(
                                     timers_, *connections_, entry, fencingToken, maxCommandConnections);
    return std::make_unique<LeasedWorkerClient>(timers_, entry, std::move(channel), worker(entry.id).maxLease);
}

} // namespace auburndoor
