#pragma once

#include "pipeline/Filter.h"

#include <functional>

namespace auburndoor {

class CapacityLedger;
class Clock;
class MembershipView;
class PoolCensus;
class RunTimeEstimator;
class ServiceQueues;
class ShareAccounts;

/** The parts of an instance that ReserveFilter works with. */
struct ReserveParts
{
    Clock &clock;
    CapacityLedger &ledger;
    MembershipView &members;
    RunTimeEstimator &estimator;
    ServiceQueues &queues;
    ShareAccounts &shares;
    PoolCensus &census;
    /** Called after room has been reserved here. */
    std::function<void()> noteReserved;
};

/**
    Finds room for a request: on a worker of this instance, else at the peer with most room, else it waits in the queue.

    A request that a peer has forwarded is placed at once or refused, so that it waits in one queue only, that of its entry
   instance.
*/
class ReserveFilter : public Filter
{
public:
    explicit ReserveFilter(const ReserveParts &parts);

    std::optional<Outcome> apply(RequestContext &context) override;

private:
    void describePlacement(RequestContext &context);
    bool reserveHere(RequestContext &context);
    bool claimAtPeer(RequestContext &context);

    ReserveParts parts_;
};

} // namespace auburndoor
