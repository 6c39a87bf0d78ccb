#include "pipeline/RequestNeeds.h"

#include "pipeline/RequestContext.h"
#include "placement/RunTimeEstimator.h"

namespace auburndoor {

QueueEntry queueEntryOf(const RequestContext &context, const RunTimeEstimator &estimator)
{
    const auto &request = context.request;
    QueueEntry entry;
    entry.id = request.id;
    entry.team = request.team;
    entry.priority = request.priority;
    entry.need = request.need;
    entry.isLong = context.isLong;
    entry.arrival = request.arrival;
    entry.deadline = request.deadline;
    entry.expectedRunTime = estimator.estimate(request.service, request.kind, Milliseconds(0)).median;
    return entry;
}

PlacementNeed placementNeedOf(const RequestContext &context)
{
    const auto &request = context.request;
    const auto reserve = context.service != nullptr ? context.service->shortReservePercent : 0;
    return { request.service, request.need, context.isLong, reserve, {} };
}

} // namespace auburndoor
