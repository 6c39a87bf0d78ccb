#include "pipeline/RequestTraces.h"

namespace auburndoor {

void RequestTraces::add(RequestTrace trace)
{
    trace.outcome.answer.clear();
    auto &partition = partitions_[std::hash<RequestId>()(trace.request) % partitionCount];
    const std::lock_guard lock(partition.mutex);
    if (partition.insertionOrder.size() >= tracesPerPartition) {
        partition.traces.erase(partition.insertionOrder.front());
        partition.insertionOrder.pop_front();
    }
    const auto id = trace.request;
    if (partition.traces.emplace(id, std::move(trace)).second) {
        partition.insertionOrder.push_back(id);
    }
}

std::optional<RequestTrace> RequestTraces::find(const RequestId &request) const
{
    const auto &partition = partitions_[std::hash<RequestId>()(request) % partitionCount];
    const std::lock_guard lock(partition.mutex);
    const auto found = partition.traces.find(request);
    return found == partition.traces.end() ? std::nullopt : std::optional(found->second);
}

} // namespace auburndoor
