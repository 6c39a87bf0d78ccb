#pragma once

#include "pipeline/Filter.h"

namespace auburndoor {

class CapacityLedger;
class Clock;
class MembershipView;
class PoolCensus;
class RunTimeEstimator;
class ServiceQueues;
struct PoolSize;
struct QueueEntry;

/** The parts of an instance that AdmitFilter works with. */
struct AdmitParts
{
    Clock &clock;
    CapacityLedger &ledger;
    MembershipView &members;
    PoolCensus &census;
    RunTimeEstimator &estimator;
    ServiceQueues &queues;
};

/** Refuses requests that can never fit, or that cannot be answered before their deadline. */
class AdmitFilter : public Filter
{
public:
    explicit AdmitFilter(const AdmitParts &parts);

    std::optional<Outcome> apply(RequestContext &context) override;

private:
    std::optional<Outcome> refuseLate(const RequestContext &context, const PoolSize &pool) const;
    long long freePlaces(const RequestContext &context) const;

    AdmitParts parts_;
};

} // namespace auburndoor
