#pragma once

#include "pipeline/Filter.h"

namespace auburndoor {

class CapacityLedger;
class Clock;
class MembershipView;
class PoolInventory;
class RunTimeEstimator;
class ServiceQueues;
struct PoolCapacity;
struct QueueEntry;

/** The objects of an instance that AdmitFilter uses. */
struct AdmitDependencies
{
    Clock &clock;
    CapacityLedger &ledger;
    MembershipView &members;
    PoolInventory &inventory;
    RunTimeEstimator &estimator;
    ServiceQueues &queues;
};

/** Refuses requests that fit no worker of their pool, or that cannot be answered before their deadline. */
class AdmitFilter : public Filter
{
public:
    explicit AdmitFilter(const AdmitDependencies &dependencies);

    std::optional<Outcome> apply(RequestContext &context) override;

private:
    std::optional<Outcome> refuseIfTooLate(const RequestContext &context, const PoolCapacity &pool) const;
    /** Free places for the request on the workers of this instance and of its live peers. */
    long long freePlaces(const RequestContext &context) const;

    AdmitDependencies dependencies_;
};

} // namespace auburndoor
