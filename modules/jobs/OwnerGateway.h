#pragma once

#include "core/Clock.h"
#include "core/Identifier.h"
#include "peer/Peer.h"

#include <map>
#include <optional>
#include <vector>

namespace auburndoor {

class PeerDirectory;
class PeerHandler;

/** A place held for a task, with the instance that owns its worker. */
struct HeldPlace
{
    InstanceId owner;
    Hold hold;
};

/**
    Calls the instances that own workers: this instance directly, the others as peers. Not thread-safe.

    Since the ownership of workers changes, the owner of a worker is found by asking instances in turn; the one that answered is
    asked first the next time.
*/
class OwnerGateway
{
public:
    /** @param local the handler of this instance; local and peers must outlive the gateway */
    OwnerGateway(InstanceId self, PeerHandler &local, PeerDirectory &peers);

    const InstanceId &self() const;

    /** This instance and its live peers, in ascending order of their ids. */
    std::vector<InstanceId> instances() const;

    /** Holds places at one instance. @return up to request.count places; none if the instance cannot be reached */
    std::vector<HeldPlace> hold(const InstanceId &instance, const HoldRequest &request);

    /** Releases places. A hold whose owner cannot be reached ends after its time limit. */
    void release(const std::vector<HeldPlace> &places);

    /** Starts a task on a held place. */
    CallResult startHeld(const HeldPlace &place, const TaskStart &start, Failure &failure);

    /**
        Queries the state of a task through the current owner of its worker.

        @param ownerHint the owner of the worker when the task was assigned
        @return empty on failure
    */
    std::optional<TaskStatus> query(const InstanceId &ownerHint, const WorkerId &worker, const TaskId &task, Failure &failure);

    /** The instance that last answered for the worker; ownerHint if none has. */
    const InstanceId &ownerOf(const WorkerId &worker, const InstanceId &ownerHint) const;

    /** The tasks of a job that run on an instance's workers, as last reported to it; none if it cannot be reached. */
    std::vector<TaskId> runningTasks(const InstanceId &instance, const JobId &job);

    /** Cancels a task through the current owner of its worker. @return the state after the cancel; empty on failure */
    std::optional<TaskStatus> cancel(const InstanceId &ownerHint, const WorkerId &worker, const TaskId &task, Failure &failure);

private:
    enum class RequestKind {
        Query,
        Cancel,
    };

    /** Asks the last known owner, the hint, this instance and the live peers in turn until one answers for the worker. */
    std::optional<TaskStatus> askCandidates(RequestKind requestKind,
                                            const InstanceId &ownerHint,
                                            const WorkerId &worker,
                                            const TaskId &task,
                                            Failure &failure);
    std::optional<TaskStatus> askInstance(RequestKind requestKind,
                                          const InstanceId &instance,
                                          const WorkerId &worker,
                                          const TaskId &task,
                                          Failure &failure);

    const InstanceId self_;
    PeerHandler &local_;
    PeerDirectory &peers_;
    std::map<WorkerId, InstanceId> ownerHints_;
};

} // namespace auburndoor
