#include "jobs/OwnerGateway.h"

#include "core/Failure.h"
#include "jobs/JobDecisions.h"
#include "peer/PeerDirectory.h"
#include "peer/PeerHandler.h"

#include <algorithm>

namespace auburndoor {

namespace {

/** For calls that a peer answers without calling a worker; a round trip between regions takes well below this. */
constexpr Milliseconds peerTimeout { 500 };
/** For starts, queries and cancels, which include the peer's own call of the worker. */
constexpr Milliseconds peerAndWorkerTimeout { 2000 };
/** The maximum number of workers whose last known owner is kept; about the number of workers of a cell. */
constexpr std::size_t maximumOwnerHints = 10'000;

Failure makeUnreachableFailure(const InstanceId &instance, FailureStep step)
{
    return { step, instance.text(), FailureReason::ConnectionFailed, "the instance is not a live peer" };
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
        holds = peer->hold(request, peerTimeout, failure).value_or(std::vector<Hold>());
    }
    std::vector<HeldPlace> places;
    for (auto &hold : holds) {
        places.push_back({ instance, std::move(hold) });
    }
    return places;
}

void OwnerGateway::release(const std::vector<HeldPlace> &places)
{
    std::map<InstanceId, std::vector<Hold>> holdsByOwner;
    for (const auto &place : places) {
        holdsByOwner[place.owner].push_back(place.hold);
    }
    for (const auto &[owner, holds] : holdsByOwner) {
        if (owner == self_) {
            local_.release(holds);
        } else if (const auto peer = peers_.peer(owner)) {
            Failure failure;
            peer->release(holds, peerTimeout, failure);
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
        failure = makeUnreachableFailure(place.owner, FailureStep::Start);
        return { CallStatus::NotRun, {} };
    }
    return peer->startHeld(place.hold, start, peerAndWorkerTimeout, failure);
}

std::optional<TaskStatus> OwnerGateway::query(const InstanceId &ownerHint,
                                              const WorkerId &worker,
                                              const TaskId &task,
                                              Failure &failure)
{
    return askCandidates(RequestKind::Query, ownerHint, worker, task, failure);
}

const InstanceId &OwnerGateway::ownerOf(const WorkerId &worker, const InstanceId &ownerHint) const
{
    const auto known = ownerHints_.find(worker);
    return known == ownerHints_.end() ? ownerHint : known->second;
}

std::vector<TaskId> OwnerGateway::runningTasks(const InstanceId &instance, const JobId &job)
{
    if (instance == self_) {
        return local_.runningTasks(job);
    }
    Failure failure;
    const auto peer = peers_.peer(instance);
    return peer ? peer->runningTasks(job, peerTimeout, failure).value_or(std::vector<TaskId>()) : std::vector<TaskId>();
}

std::optional<TaskStatus> OwnerGateway::cancel(const InstanceId &ownerHint,
                                               const WorkerId &worker,
                                               const TaskId &task,
                                               Failure &failure)
{
    return askCandidates(RequestKind::Cancel, ownerHint, worker, task, failure);
}

std::optional<TaskStatus> OwnerGateway::askCandidates(RequestKind requestKind,
                                                      const InstanceId &ownerHint,
                                                      const WorkerId &worker,
                                                      const TaskId &task,
                                                      Failure &failure)
{
    const auto known = ownerHints_.find(worker);
    std::vector<InstanceId> candidates { known == ownerHints_.end() ? ownerHint : known->second, ownerHint, self_ };
    const auto live = instances();
    candidates.insert(candidates.end(), live.begin(), live.end());
    std::vector<InstanceId> asked;
    for (const auto &candidate : candidates) {
        if (candidate.isEmpty() || std::find(asked.begin(), asked.end(), candidate) != asked.end()) {
            continue;
        }
        asked.push_back(candidate);
        auto result = askInstance(requestKind, candidate, worker, task, failure);
        if (result || isWorkerUnresponsive(failure, worker)) {
            if (ownerHints_.size() >= maximumOwnerHints) {
                ownerHints_.clear();
            }
            ownerHints_[worker] = candidate;
            return result;
        }
    }
    ownerHints_.erase(worker);
    return std::nullopt;
}

std::optional<TaskStatus> OwnerGateway::askInstance(RequestKind requestKind,
                                                    const InstanceId &instance,
                                                    const WorkerId &worker,
                                                    const TaskId &task,
                                                    Failure &failure)
{
    if (instance == self_) {
        return requestKind == RequestKind::Query ? local_.queryTask(worker, task, failure)
                                                 : local_.cancelTask(worker, task, failure);
    }
    const auto peer = peers_.peer(instance);
    if (!peer) {
        failure = makeUnreachableFailure(instance, requestKind == RequestKind::Query ? FailureStep::Collect : FailureStep::Cancel);
        return std::nullopt;
    }
    return requestKind == RequestKind::Query ? peer->queryTask(worker, task, peerAndWorkerTimeout, failure)
                                             : peer->cancelTask(worker, task, peerAndWorkerTimeout, failure);
}

} // namespace auburndoor
