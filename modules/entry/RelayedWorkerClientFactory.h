#pragma once

#include "workload/WorkerClient.h"

#include <memory>

namespace auburndoor {

class Timers;
class WorkerChannelFactory;
class WorkerRelayPool;

/**
    Creates the owner's clients of workers, whose commands go through relays where the pool assigns one, and otherwise directly.

    A command that never left for a relay that failed is sent directly at once, and so is a request for a report that was lost with
    its relay: a worker does not count as failed because its relay has. Other commands that are lost end as Unknown. A worker that
    does not answer its relay is reached directly for a while, since only the way between the two may be interrupted.
*/
class RelayedWorkerClientFactory : public WorkerClientFactory
{
public:
    /**
        @param directChannels creates the connections that do not lead through a relay
        @param maxLease       the longest lease that a worker accepts; longer ones are shortened to it
    */
    RelayedWorkerClientFactory(Timers &timers, WorkerRelayPool &pool, WorkerChannelFactory &directChannels, Milliseconds maxLease);

    std::unique_ptr<WorkerClient> create(const WorkerEntry &entry, std::int64_t fencingToken) override;

private:
    Timers &timers_;
    WorkerRelayPool &pool_;
    WorkerChannelFactory &directChannels_;
    Milliseconds maxLease_;
};

} // namespace auburndoor
