#include "pipeline/AdmitFilter.h"

#include "admission/AdmissionPolicy.h"
#include "fleet/PoolInventory.h"
#include "membership/MembershipView.h"
#include "pipeline/RequestContext.h"
#include "pipeline/RequestNeeds.h"
#include "pipeline/ServiceQueues.h"
#include "placement/RunTimeEstimator.h"

namespace auburndoor {

AdmitFilter::AdmitFilter(const AdmitDependencies &parts) : parts_(parts)
{
}

std::optional<Outcome> AdmitFilter::apply(RequestContext &context)
{
    const auto &request = context.request;
    context.isLong = parts_.estimator.isLong(request.service, request.kind, Milliseconds(0), context.service->longWork);
    const auto expected = parts_.estimator.estimate(request.service, request.kind, Milliseconds(0)).median;
    // The balancer spreads requests evenly, so that each instance counts its own share of the demand on its own share of the
    // workers.
    parts_.queues.shortReserve(request.service).recordArrival(context.isLong, expected);
    const auto pool = parts_.inventory.pool(request.service);
    if (!pool) {
        return std::nullopt;
    }
    if (!pool->capacities.empty() && !pool->canHold(request.need)) {
        const auto message = "the request needs " + request.need.text() + "; " + pool->nearestFit(request.need);
        return Outcome { OutcomeStatus::NotRun, {}, { FailureStep::Admit, {}, FailureReason::NeverFits, message }, {}, {}, {} };
    }
    return refuseLate(context, *pool);
}

std::optional<Outcome> AdmitFilter::refuseLate(const RequestContext &context, const PoolCapacity &pool) const
{
    const auto &request = context.request;
    const auto entry = queueEntryOf(context, parts_.estimator);
    // The balancer spreads requests evenly, so that the other instances' queues are about as long as this one's.
    const auto instanceCount = parts_.members.livePeers().size() + 1;
    AdmissionQuery query;
    query.remaining = std::chrono::duration_cast<Milliseconds>(request.deadline - parts_.clock.now());
    query.expectedRunTime = entry.expectedRunTime;
    query.queuedAhead = parts_.queues.queue(*context.service).countAhead(entry) * instanceCount;
    query.freePlaces = freePlaces(context);
    // Short and long work each have the places that the other leaves them.
    const auto longTasks = parts_.inventory.owned(request.service).longTasks * static_cast<long long>(instanceCount);
    query.totalPlaces = context.isLong ? longTasks + query.freePlaces : pool.places(request.need) - longTasks;
    query.meanRunTime = parts_.estimator.estimate(request.service, kindOfLength(context.isLong), Milliseconds(0)).mean;
    const auto decision = AdmissionPolicy::decide(query);
    if (decision.isAdmitted) {
        return std::nullopt;
    }
    const auto message = "the estimated wait of " + std::to_string(decision.estimatedWait.count()) + " ms exceeds the deadline";
    return Outcome { OutcomeStatus::NotRun, {}, { FailureStep::Admit, {}, FailureReason::DeadlineTooShort, message },
                     decision.retryAfter,   {}, {} };
}

long long AdmitFilter::freePlaces(const RequestContext &context) const
{
    long long places = parts_.ledger.freePlaces(context.placementNeed());
    for (const auto &member : parts_.members.liveMembers()) {
        for (const auto &pool : member.summary.pools) {
            places += pool.service == context.request.service ? pool.freePlaces : 0;
        }
    }
    return places;
}

} // namespace auburndoor
