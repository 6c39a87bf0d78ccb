#pragma once

#include "core/Clock.h"
#include "pipeline/Filter.h"
#include "worker/WorkerConnection.h"

namespace auburndoor {

class CapacityLedger;
class MembershipView;
class RequestRecordStore;
class RunTimeEstimator;
class TaskResolver;
class WorkerHealth;
class WorkerManager;

/** The parts of an instance that DispatchFilter works with. */
struct DispatchDependencies
{
    Clock &clock;
    CapacityLedger &ledger;
    WorkerManager &workers;
    WorkerHealth &health;
    RunTimeEstimator &estimator;
    RequestRecordStore &records;
    TaskResolver &resolver;
    MembershipView &members;
    /** The lease that a worker gives to a task. */
    Milliseconds taskLease;
};

/** Starts the request's task on the reserved worker, or has the chosen peer execute the request, and collects the outcome. */
class DispatchFilter : public Filter
{
public:
    explicit DispatchFilter(const DispatchDependencies &parts);

    std::optional<Outcome> apply(RequestContext &context) override;

private:
    Outcome forward(RequestContext &context);
    Outcome execute(RequestContext &context);
    Outcome conclude(RequestContext &context, const CallResult &result, const Failure &failure);
    void settleRoom(const RequestContext &context, const Outcome &outcome);
    void settleRecord(const RequestContext &context, const Outcome &outcome);
    TaskStart describeStart(const RequestContext &context) const;

    DispatchDependencies parts_;
};

} // namespace auburndoor
