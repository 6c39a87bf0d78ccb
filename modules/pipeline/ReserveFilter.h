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

/** The parts of an instance that ReserveFilter works with. */
struct ReserveDependencies
{
    Clock &clock;
    CapacityLedger &ledger;
    MembershipView &members;
    RunTimeEstimator &estimator;
    ServiceQueues &queues;
    ShareAccounts &shares;
    PoolInventory &inventory;
    /** How the owner is chosen among those with room. */
    OwnerSelectionPolicy rule = OwnerSelectionPolicy::LocalFirst;
    /** Called after room has been reserved here. */
    std::function<void()> onReserved;
};

/**
    Finds room for a request: on a worker of this instance, else at the peer with most room, else it waits in the queue.

    A request that a peer has forwarded is placed at once or refused, so that it waits in one queue only, that of its entry
   instance.
*/
class ReserveFilter : public Filter
{
public:
    explicit ReserveFilter(const ReserveDependencies &parts);

    std::optional<Outcome> apply(RequestContext &context) override;

private:
    void describePlacement(RequestContext &context);
    QueueEntry waitingEntry(const RequestContext &context) const;
    bool findRoom(RequestContext &context);
    bool findTightestRoom(RequestContext &context);
    std::set<InstanceId> fullPeers(const RequestContext &context) const;
    bool reserveHere(RequestContext &context);
    bool claimAtPeer(RequestContext &context);

    ReserveDependencies parts_;
};

} // namespace auburndoor
