#pragma once

#include "pipeline/TaskAccess.h"

#include <functional>
#include <map>
#include <mutex>

namespace auburndoor {

class OwnedWorkerService;
class Peer;
class PeerDirectory;

/**
    Queries and cancels tasks on any worker of the cell: directly on owned workers, else through the peer that owns the worker.
    Thread-safe.
*/
class CellTaskAccess : public TaskAccess
{
public:
    CellTaskAccess(Clock &clock, OwnedWorkerService &ownedWorkers, PeerDirectory &peers);

    std::optional<TaskStatus> query(const WorkerId &worker, const TaskId &task, TimePoint deadline, Failure &failure) override;
    std::optional<TaskStatus> cancel(const WorkerId &worker, const TaskId &task, TimePoint deadline, Failure &failure) override;

private:
    using AskPeer = std::function<std::optional<TaskStatus>(Peer &, Milliseconds timeout, Failure &)>;

    /** Calls the live peers in turn until one returns the state of the task or the deadline has passed. */
    std::optional<TaskStatus> askPeers(const WorkerId &worker, TimePoint deadline, Failure &failure, const AskPeer &ask);
    /** The time until the deadline, between 1 ms and the limit of one attempt. */
    Milliseconds timeoutUntil(TimePoint deadline) const;

    Clock &clock_;
    OwnedWorkerService &ownedWorkers_;
    PeerDirectory &peers_;
    std::mutex mutex_;
    /** The peer that last answered for each worker; it is called first the next time. */
    std::map<WorkerId, InstanceId> lastOwners_;
};

} // namespace auburndoor
