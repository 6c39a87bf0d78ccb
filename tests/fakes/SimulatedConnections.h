#pragma once

#include "fakes/SimulatedWorker.h"
#include "workload/WorkerConnection.h"

#include <functional>

namespace auburndoor {

/**
    Connections of one process to simulated workers.

    As with HttpChannels, a connection breaks when its worker restarts, which shows with the next command that it carries, and is
    closed when a reply does not arrive in time. A request that may be repeated goes on over a new connection.
*/
class SimulatedConnections : public WorkerConnectionFactory
{
public:
    SimulatedConnections(Timers &timers, SimulatedFleet &fleet);

    std::unique_ptr<WorkerConnection> create(const WorkerEntry &entry, std::int64_t fencingToken) override;

    /** The commands and requests sent so far. */
    int sentCount = 0;
    /** While true, nothing that is sent arrives, and nothing is answered. */
    bool isCutOff = false;
    /** The process may be suspended, by timers that can be paused. */
    bool isSuspendable = false;
    /** Hands a reply to the process with this token; without it, replies arrive at once. */
    std::function<void(std::int64_t token, std::function<void()> reply)> deliverReply;

private:
    class Connection;

    Timers &timers_;
    SimulatedFleet &fleet_;
    ConnectionNumber lastNumber_ = 0;
};

} // namespace auburndoor
