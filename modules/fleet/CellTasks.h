#pragma once

#include "pipeline/TaskAccess.h"

#include <functional>
#include <map>
#include <mutex>

namespace auburndoor {

class OwnerService;
class Peer;
class PeerDirectory;

/** Reaches the tasks of all workers: those of this instance directly, others through the peer that owns them. */
class CellTasks : public TaskAccess
{
public:
    CellTasks(Clock &clock, OwnerService &own, PeerDirectory &peers);

    std::optional<WorkerTask> query(const WorkerId &worker, const TaskId &task, TimePoint deadline, Failure &failure) override;
    std::optional<WorkerTask> cancel(const WorkerId &worker, const TaskId &task, TimePoint deadline, Failure &failure) override;

private:
    using AskPeer = std::function<std::optional<WorkerTask>(Peer &, Milliseconds timeout, Failure &)>;

    std::optional<WorkerTask> askPeers(const WorkerId &worker, TimePoint deadline, Failure &failure, const AskPeer &ask);
    Milliseconds timeoutUntil(TimePoint deadline) const;

    Clock &clock_;
    OwnerService &own_;
    PeerDirectory &peers_;
    std::mutex mutex_;
    /** The peer that answered last for a worker, asked first the next time. */
    std::map<WorkerId, InstanceId> lastOwners_;
};

} // namespace auburndoor
