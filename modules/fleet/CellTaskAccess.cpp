#include "fleet/CellTaskAccess.h"

#include "core/Failure.h"
#include "fleet/OwnedWorkerService.h"
#include "peer/Peer.h"
#include "peer/PeerDirectory.h"

#include <algorithm>

namespace auburndoor {

namespace {

/** Time limit of one query or cancellation at one instance. */
constexpr Milliseconds longestAttemptTimeout { 1000 };

} // namespace

CellTaskAccess::CellTaskAccess(Clock &clock, OwnedWorkerService &ownedWorkers, PeerDirectory &peers)
    : clock_(clock), ownedWorkers_(ownedWorkers), peers_(peers)
{
}

std::optional<TaskStatus> CellTaskAccess::query(const WorkerId &worker, const TaskId &task, TimePoint deadline, Failure &failure)
{
    auto status = ownedWorkers_.queryTask(worker, task, timeoutUntil(deadline), failure);
    if (status || failure.reason != FailureReason::NotOwner) {
        return status;
    }
    return askPeers(worker, deadline, failure, [&](Peer &peer, Milliseconds timeout, Failure &peerFailure) {
        return peer.queryTask(worker, task, timeout, peerFailure);
    });
}

std::optional<TaskStatus> CellTaskAccess::cancel(const WorkerId &worker, const TaskId &task, TimePoint deadline, Failure &failure)
{
    auto status = ownedWorkers_.cancelTask(worker, task, timeoutUntil(deadline), failure);
    if (status || failure.reason != FailureReason::NotOwner) {
        return status;
    }
    return askPeers(worker, deadline, failure, [&](Peer &peer, Milliseconds timeout, Failure &peerFailure) {
        return peer.cancelTask(worker, task, timeout, peerFailure);
    });
}

std::optional<TaskStatus> CellTaskAccess::askPeers(const WorkerId &worker, TimePoint deadline, Failure &failure, const AskPeer &ask)
{
    auto candidates = peers_.livePeers();
    {
        const std::lock_guard lock(mutex_);
        if (const auto lastOwner = lastOwners_.find(worker); lastOwner != lastOwners_.end()) {
            std::stable_partition(candidates.begin(), candidates.end(), [&](const auto &id) { return id == lastOwner->second; });
        }
    }
    for (const auto &id : candidates) {
        const auto peer = peers_.peer(id);
        if (!peer || clock_.now() >= deadline) {
            continue;
        }
        if (auto status = ask(*peer, timeoutUntil(deadline), failure)) {
            const std::lock_guard lock(mutex_);
            lastOwners_[worker] = id;
            return status;
        }
    }
    return std::nullopt;
}

Milliseconds CellTaskAccess::timeoutUntil(TimePoint deadline) const
{
    const auto remaining = std::chrono::duration_cast<Milliseconds>(deadline - clock_.now());
    return std::clamp(remaining, Milliseconds(1), longestAttemptTimeout);
}

} // namespace auburndoor
