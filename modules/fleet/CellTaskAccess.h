#pragma once

#include "pipeline/TaskAccess.h"

#include <functional>
#include <map>
#include <mutex>

namespace auburndoor {

class OwnedWorkerService;
class Peer;
class PeerDirectory;

/** Reaches the tasks of all workers: those of this instance directly, others through the peer that owns them. */
class CellTaskAccess : public TaskAccess
{
public:
    CellTaskAccess(Clock &clock, OwnedWorkerService &own, PeerDirectory &peers);

    std::optional<TaskStatus> query(const WorkerId &worker, const TaskId &task, TimePoint deadline, Failure &failure) override;
    std::optional<TaskStatus> cancel(const WorkerId &worker, const TaskId &task, TimePoint deadline, Failure &failure) override;

private:
    using AskPeer = std::function<std::optional<TaskStatus>(Peer &, Milliseconds timeout, Failure &)>;

    std::optional<TaskStatus> askPeers(const WorkerId &worker, TimePoint deadline, Failure &failure, const AskPeer &ask);
    Milliseconds timeoutUntil(TimePoint deadline) const;

    Clock &clock_;
    OwnedWorkerService &own_;
    PeerDirectory &peers_;
    std::mutex mutex_;
    /** The peer that answered last for a worker, asked first the next time. */
    std::map<WorkerId, InstanceId> lastOwners_;
};

} // namespace auburndoor
