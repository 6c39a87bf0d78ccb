#pragma once

#include "admission/QueueEntry.h"
#include "core/Identifier.h"
#include "pipeline/Filter.h"
#include "placement/OwnerChoice.h"

#include <functional>
#include <set>

namespace auburndoor {

class CapacityLedger;
class Clock;
class MembershipView;
class PoolInventory;
class RunTimeEstimator;
class ServiceQueues;
class ShareAccounts;

/** The objects of an instance that ReserveFilter uses. */
struct ReserveDependencies
{
    Clock &clock;
    CapacityLedger &ledger;
    MembershipView &members;
    RunTimeEstimator &estimator;
    ServiceQueues &queues;
    ShareAccounts &shares;
    PoolInventory &inventory;
    /** How the owner is chosen among those with free capacity. */
    OwnerSelectionPolicy ownerSelectionPolicy = OwnerSelectionPolicy::LocalFirst;
    /** Called after capacity on a worker of this instance has been reserved, on the thread that reserved it. */
    std::function<void()> onReserved;
};

/**
    Reserves capacity for a request on a worker of this instance, or chooses a peer that has capacity; until either succeeds, the
    request waits in the queue of its service.

    A request that a peer has forwarded is placed at once or refused, so that it waits only in the queue of its entry instance.
*/
class ReserveFilter : public Filter
{
public:
    explicit ReserveFilter(const ReserveDependencies &dependencies);

    std::optional<Outcome> apply(RequestContext &context) override;

private:
    void updateEstimates(RequestContext &context);
    /** Describes the request for the wait queue, which must leave time for its run. */
    QueueEntry makeWaitingEntry(const RequestContext &context) const;
    /** Sets context.reservation or context.forwardTo. @return false if neither this instance nor a peer has capacity */
    bool findCapacity(RequestContext &context);
    bool findCapacityByPolicy(RequestContext &context);
    /** The peers that refused this request a short time ago. */
    std::set<InstanceId> findExcludedPeers(const RequestContext &context) const;
    bool reserveLocally(RequestContext &context);
    bool claimPeerPlace(RequestContext &context);

    ReserveDependencies dependencies_;
};

} // namespace auburndoor
