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

/** The objects of an instance that DispatchFilter uses. */
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
    /** The lease with which a task is started on its worker. */
    Milliseconds taskLease;
};

/** Starts the request's task on the reserved worker, or has the chosen peer execute the request, and collects the outcome. */
class DispatchFilter : public Filter
{
public:
    explicit DispatchFilter(const DispatchDependencies &dependencies);

    std::optional<Outcome> apply(RequestContext &context) override;

private:
    /** Has the chosen peer execute the request. */
    Outcome forward(RequestContext &context);
    /** Runs the task on the reserved worker and collects its outcome. */
    Outcome execute(RequestContext &context);
    /** The outcome of the task; also updates the worker's health and the run-time estimates. */
    Outcome processCallResult(RequestContext &context, const CallResult &result, const Failure &failure);
    /** Releases the reserved capacity, at once or after the task has ended. */
    void settleReservation(const RequestContext &context, const Outcome &outcome);
    /** Stores the outcome in the request's record, unless it is Unknown. */
    void updateRecord(const RequestContext &context, const Outcome &outcome);
    TaskStart makeTaskStart(const RequestContext &context) const;

    DispatchDependencies dependencies_;
};

} // namespace auburndoor
