#include "pipeline/AdmitFilter.h"

#include "admission/AdmissionPolicy.h"
#include "fleet/PoolInventory.h"
#include "membership/MembershipView.h"
#include "pipeline/RequestContext.h"
#include "pipeline/RequestEstimates.h"
#include "pipeline/ServiceQueues.h"
#include "placement/RunTimeEstimator.h"

namespace auburndoor {

AdmitFilter::AdmitFilter(const AdmitDependencies &dependencies) : dependencies_(dependencies)
{
}

std::optional<Outcome> AdmitFilter::apply(RequestContext &context)
{
    const auto &request = context.request;
    context.isLong = dependencies_.estimator.isLong(request.service, request.kind, Milliseconds(0), context.service->longWork);
    const auto expected = dependencies_.estimator.estimate(request.service, request.kind, Milliseconds(0)).median;
    // The load balancer spreads requests evenly over the instances, so each instance counts its share of the demand against its
    // share of the workers.
    dependencies_.queues.shortReserve(request.service).recordArrival(context.isLong, expected);
    const auto pool = dependencies_.inventory.pool(request.service);
    if (!pool) {
        return std::nullopt;
    }
    if (!pool->capacities.empty() && !pool->canHold(request.need)) {
        const auto message = "the request needs " + request.need.text() + "; " + pool->nearestFit(request.need);
        return Outcome { OutcomeStatus::NotRun, {}, { FailureStep::Admit, {}, FailureReason::NeverFits, message }, {}, {}, {} };
    }
    return refuseIfTooLate(context, *pool);
}

std::optional<Outcome> AdmitFilter::refuseIfTooLate(const RequestContext &context, const PoolCapacity &pool) const
{
    const auto &request = context.request;
    const auto entry = makeQueueEntry(context, dependencies_.estimator);
    // The load balancer spreads requests evenly, so the queues of the other instances are about as long as this one.
    const auto instanceCount = dependencies_.members.livePeers().size() + 1;
    AdmissionQuery query;
    query.remaining = std::chrono::duration_cast<Milliseconds>(request.deadline - dependencies_.clock.now());
    query.expectedRunTime = entry.expectedRunTime;
    query.queuedAhead = dependencies_.queues.queue(*context.service).countAhead(entry) * instanceCount;
    query.freePlaces = freePlaces(context);
    // Long work can have the places that it uses and the free ones, short work all places that long work does not use.
    const auto longTasks = dependencies_.inventory.owned(request.service).longTasks * static_cast<long long>(instanceCount);
    query.totalPlaces = context.isLong ? longTasks + query.freePlaces : pool.places(request.need) - longTasks;
    query.meanRunTime = dependencies_.estimator.estimate(request.service, estimatorKindForLength(context.isLong), Milliseconds(0))
                            .mean;
    const auto decision = AdmissionPolicy::decide(query);
    if (decision.isAdmitted) {
        return std::nullopt;
    }
    const auto message = "the estimated wait of " + std::to_string(decision.estimatedWait.count())
                         + " ms is too long for the deadline";
    return Outcome { OutcomeStatus::NotRun, {}, { FailureStep::Admit, {}, FailureReason::DeadlineTooShort, message },
                     decision.retryAfter,   {}, {} };
}

long long AdmitFilter::freePlaces(const RequestContext &context) const
{
    long long places = dependencies_.ledger.freePlaces(context.placementNeed());
    for (const auto &member : dependencies_.members.liveMembers()) {
        for (const auto &pool : member.summary.pools) {
            places += pool.service == context.request.service ? pool.freePlaces : 0;
        }
    }
    return places;
}

} // namespace auburndoor
