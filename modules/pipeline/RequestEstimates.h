#pragma once

#include "admission/QueueEntry.h"

#include <string>

namespace auburndoor {

class RunTimeEstimator;
struct RequestContext;

/** Describes a request for the wait queue, with its median run time as the expected one. */
QueueEntry makeQueueEntry(const RequestContext &context, const RunTimeEstimator &estimator);

/** The kind under which the run-time estimator keeps the run times of all long, or all short, work of a service. */
const std::string &estimatorKindForLength(bool isLong);

} // namespace auburndoor
