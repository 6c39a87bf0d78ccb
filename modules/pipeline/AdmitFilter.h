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

/** The parts of an instance that AdmitFilter works with. */
struct AdmitDependencies
{
    Clock &clock;
    CapacityLedger &ledger;
    MembershipView &members;
    PoolInventory &inventory;
    RunTimeEstimator &estimator;
    ServiceQueues &queues;
};

/** Refuses requests that can never fit, or that cannot be answered before their deadline. */
class AdmitFilter : public Filter
{
public:
    explicit AdmitFilter(const AdmitDependencies &parts);

    std::optional<Outcome> apply(RequestContext &context) override;

private:
    std::optional<Outcome> refuseLate(const RequestContext &context, const PoolCapacity &pool) const;
    long long freePlaces(const RequestContext &context) const;

    AdmitDependencies parts_;
};

} // namespace auburndoor
