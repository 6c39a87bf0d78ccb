#pragma once

#include "admission/QueueEntry.h"

#include <string>

namespace auburndoor {

class RunTimeEstimator;
struct RequestContext;

/** What the wait queue is told of a request. */
QueueEntry queueEntryOf(const RequestContext &context, const RunTimeEstimator &estimator);

/** The kind under which the run-time estimator keeps all long, or all short, work of a service. */
const std::string &kindOfLength(bool isLong);

} // namespace auburndoor
