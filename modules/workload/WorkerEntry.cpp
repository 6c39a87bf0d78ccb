#include "workload/WorkerEntry.h"

#include <algorithm>

namespace auburndoor {

void WorkerEntry::forgetStoreTimes()
{
    reportedAfter.reset();
    missingAt.reset();
    handedOverLease.reset();
}

bool WorkerEntry::hasLabel(const std::string &label) const
{
    return std::find(labels.begin(), labels.end(), label) != labels.end();
}

bool WorkerEntry::hasServed(const std::string &name) const
{
    return service == name || earlierServices.contains(name);
}

std::string WorkerEntry::rack() const
{
    // The first label is the kind of worker, the last one the rack.
    return labels.size() < 2 ? std::string() : labels.back();
}

} // namespace auburndoor
