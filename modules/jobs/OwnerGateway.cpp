#include "jobs/OwnerGateway.h"

#include "core/Failure.h"
#include "jobs/JobDecisions.h"
#include "peer/PeerDirectory.h"
#include "peer/PeerHandler.h"

#include <algorithm>

namespace auburndoor {

namespace {

/** A peer answers holds and releases from memory; a round trip between regions takes well below this. */
constexpr Milliseconds memoryTimeout { 500 };
/** Starts, queries and cancels include the peer's own exchange with the worker. */
constexpr Milliseconds workerTimeout { 2000 };
/** Hints are kept for about as many workers as a cell has. */
constexpr std::size_t hintLimit = 10'000;

Failure unreachable(const InstanceId &instance, FailureStep step)
{
    return { step, instance.text(), FailureReason::ConnectionFailed, "the instance is not live" };
}

} // namespace

OwnerGateway::OwnerGateway(InstanceId self, PeerHandler &local, PeerDirectory &peers)
    : self_(std::move(self)), local_(local), peers_(peers)
{
}

const InstanceId &OwnerGateway::self() const
{
    return self_;
}

std::vector<InstanceId> OwnerGateway::instances() const
{
    auto instances = peers_.livePeers();
    instances.insert(std::lower_bound(instances.begin(), instances.end(), self_), self_);
    return instances;
}

std::vector<HeldPlace> OwnerGateway::hold(const InstanceId &instance, const HoldRequest &request)
{
    std::vector<Hold> holds;
    if (instance == self_) {
        holds = local_.hold(request);
    } else if (const auto peer = peers_.peer(instance)) {
        Failure failure;
        holds = peer->hold(request, memoryTimeout, failure).value_or(std::vector<Hold>());
    }
    std::vector<HeldPlace> places;
    for (auto &hold : holds) {
        places.push_back({ instance, std::move(hold) });
    }
    return places;
}

void OwnerGateway::release(const std::vector<HeldPlace> &places)
{
    std::map<InstanceId, std::vector<Hold>> byOwner;
    for (const auto &place : places) {
        byOwner[place.owner].push_back(place.hold);
    }
    for (const auto &[owner, holds] : byOwner) {
        if (owner == self_) {
            local_.release(holds);
        } else if (const auto peer = peers_.peer(owner)) {
            Failure failure;
            peer->release(holds, memoryTimeout, failure);
        }
    }
}

CallResult OwnerGateway::startHeld(const HeldPlace &place, const TaskStart &start, Failure &failure)
{
    if (place.owner == self_) {
        return local_.startHeld(place.hold, start, failure);
    }
    const auto peer = peers_.peer(place.owner);
    if (!peer) {
        failure = unreachable(place.owner, FailureStep::Start);
        return { CallStatus::NotRun, {} };
    }
    return peer->startHeld(place.hold, start, workerTimeout, failure);
}

std::optional<TaskStatus> OwnerGateway::query(const InstanceId &hint, const WorkerId &worker, const TaskId &task, Failure &failure)
{
    return ask(Order::Query, hint, worker, task, failure);
}

const InstanceId &OwnerGateway::ownerOf(const WorkerId &worker, const InstanceId &hint) const
{
    const auto known = owners_.find(worker);
    return known == owners_.end() ? hint : known->second;
}

std::vector<TaskId> OwnerGateway::runningTasks(const InstanceId &instance, const JobId &job)
{
    if (instance == self_) {
        return local_.runningTasks(job);
    }
    Failure failure;
    const auto peer = peers_.peer(instance);
    return peer ? peer->runningTasks(job, memoryTimeout, failure).value_or(std::vector<TaskId>()) : std::vector<TaskId>();
}

std::optional<TaskStatus> OwnerGateway::cancel(const InstanceId &hint, const WorkerId &worker, const TaskId &task, Failure &failure)
{
    return ask(Order::Cancel, hint, worker, task, failure);
}

std::optional<TaskStatus> OwnerGateway::ask(Order order,
                                            const InstanceId &hint,
                                            const WorkerId &worker,
                                            const TaskId &task,
                                            Failure &failure)
{
    const auto known = owners_.find(worker);
    std::vector<InstanceId> candidates { known == owners_.end() ? hint : known->second, hint, self_ };
    const auto live = instances();
    candidates.insert(candidates.end(), live.begin(), live.end());
    std::vector<InstanceId> asked;
    for (const auto &candidate : candidates) {
        if (candidate.isEmpty() || std::find(asked.begin(), asked.end(), candidate) != asked.end()) {
            continue;
        }
        asked.push_back(candidate);
        auto result = askOne(order, candidate, worker, task, failure);
        if (result || isSilence(failure, worker)) {
            if (owners_.size() >= hintLimit) {
                owners_.clear();
            }
            owners_[worker] = candidate;
            return result;
        }
    }
    owners_.erase(worker);
    return std::nullopt;
}

std::optional<TaskStatus> OwnerGateway::askOne(Order order,
                                               const InstanceId &instance,
                                               const WorkerId &worker,
                                               const TaskId &task,
                                               Failure &failure)
{
    if (instance == self_) {
        return order == Order::Query ? local_.queryTask(worker, task, failure) : local_.cancelTask(worker, task, failure);
    }
    const auto peer = peers_.peer(instance);
    if (!peer) {
        failure = unreachable(instance, order == Order::Query ? FailureStep::Collect : FailureStep::Cancel);
        return std::nullopt;
    }
    return order == Order::Query ? peer->queryTask(worker, task, workerTimeout, failure)
                                 : peer->cancelTask(worker, task, workerTimeout, failure);
}

} // namespace auburndoor
