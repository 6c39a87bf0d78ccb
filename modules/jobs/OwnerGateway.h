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
    Reaches the owners of workers: this instance directly, the others as peers. One thread.

    The owner of a worker is found by asking, since ownership moves; the answer is remembered as a hint.
*/
class OwnerGateway
{
public:
    /** @param local and peers must outlive the gateway */
    OwnerGateway(InstanceId self, PeerHandler &local, PeerDirectory &peers);

    const InstanceId &self() const;

    /** This instance and its live peers, in ascending order of their ids. */
    std::vector<InstanceId> instances() const;

    /** Asks one instance for places; none if it cannot be reached. */
    std::vector<HeldPlace> hold(const InstanceId &instance, const HoldRequest &request);

    /** Gives places back. A place whose owner cannot be reached ends after its time limit. */
    void release(const std::vector<HeldPlace> &places);

    /** Starts a task on a held place. */
    CallResult startHeld(const HeldPlace &place, const TaskStart &start, Failure &failure);

    /** The state of a task, from the present owner of its worker. @param hint the owner when it was assigned */
    std::optional<TaskStatus> query(const InstanceId &hint, const WorkerId &worker, const TaskId &task, Failure &failure);

    /** The instance that owned the worker when it last answered; the hint if it has not. */
    const InstanceId &ownerOf(const WorkerId &worker, const InstanceId &hint) const;

    /** The tasks of a job that the workers of an instance reported as running; none if it cannot be reached. */
    std::vector<TaskId> runningTasks(const InstanceId &instance, const JobId &job);

    /** Cancels a task through the present owner of its worker. */
    std::optional<TaskStatus> cancel(const InstanceId &hint, const WorkerId &worker, const TaskId &task, Failure &failure);

private:
    enum class Order {
        Query,
        Cancel,
    };

    std::optional<TaskStatus> ask(Order order,
                                  const InstanceId &hint,
                                  const WorkerId &worker,
                                  const TaskId &task,
                                  Failure &failure);
    std::optional<TaskStatus> askOne(Order order,
                                     const InstanceId &instance,
                                     const WorkerId &worker,
                                     const TaskId &task,
                                     Failure &failure);

    const InstanceId self_;
    PeerHandler &local_;
    PeerDirectory &peers_;
    std::map<WorkerId, InstanceId> owners_;
};

} // namespace auburndoor
