#include "pipeline/RequestEstimates.h"

#include "pipeline/RequestContext.h"
#include "placement/RunTimeEstimator.h"

namespace auburndoor {

QueueEntry makeQueueEntry(const RequestContext &context, const RunTimeEstimator &estimator)
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

const std::string &estimatorKindForLength(bool isLong)
{
    // The space keeps these names apart from callers' kinds, in which ValidateFilter allows no spaces.
    static const std::string longWork = "long work";
    static const std::string shortWork = "short work";
    return isLong ? longWork : shortWork;
}

} // namespace auburndoor
