#pragma once

#include "net/Address.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace auburndoor {

class Metrics;
class RelayTransport;
class Timers;
class WorkerRelayLink;

/** Which relay leads to one worker, kept up to date by a WorkerRelayPool. */
struct WorkerRoute
{
    std::string worker;
    std::string failureDomain;
    /** Null if the owner talks to the worker itself. */
    std::shared_ptr<WorkerRelayLink> link;
};

/**
    The owner's relays: finds entry processes that can be relays, and assigns the workers to them.

    In a cell with few workers the owner talks to all of them itself. A relay that fails is not used for a while; until its workers
    are assigned again, at the next check, the owner talks to them itself. All members are called from the loop's thread.
*/
class WorkerRelayPool
{
public:
    /**
        @param members          returns the peer addresses of the other entry processes
        @param maxDirectWorkers up to this number of workers, no relay is used
    */
    WorkerRelayPool(Timers &timers,
                    RelayTransport &transport,
                    std::function<std::vector<Address>()> members,
                    std::size_t maxDirectWorkers);
    ~WorkerRelayPool();

    /** If the token is another one, drops the links and workers of an earlier ownership; that owner's clients use no relay. */
    void setFencingToken(std::int64_t fencingToken);

    /** Adds a worker, which is removed when the caller drops its route. */
    std::shared_ptr<WorkerRoute> addWorker(const std::string &worker, const std::string &failureDomain);

    /** Sets the gauges of the owner's use of relays. */
    void updateMetrics(Metrics &metrics) const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace auburndoor
