#pragma once

#include "admission/QueueEntry.h"
#include "placement/Placer.h"

namespace auburndoor {

class RunTimeEstimator;
struct RequestContext;

/** What the wait queue is told of a request. */
QueueEntry queueEntryOf(const RequestContext &context, const RunTimeEstimator &estimator);

/** What the placer is told of a request. */
PlacementNeed placementNeedOf(const RequestContext &context);

} // namespace auburndoor
