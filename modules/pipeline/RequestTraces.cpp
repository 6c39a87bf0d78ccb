#include "pipeline/RequestTraces.h"

namespace auburndoor {

void RequestTraces::add(RequestTrace trace)
{
    trace.outcome.answer.clear();
    auto &shard = shards_[std::hash<RequestId>()(trace.request) % shardCount];
    const std::lock_guard lock(shard.mutex);
    if (shard.order.size() >= tracesPerShard) {
        shard.traces.erase(shard.order.front());
        shard.order.pop_front();
    }
    const auto id = trace.request;
    if (shard.traces.emplace(id, std::move(trace)).second) {
        shard.order.push_back(id);
    }
}

std::optional<RequestTrace> RequestTraces::find(const RequestId &request) const
{
    const auto &shard = shards_[std::hash<RequestId>()(request) % shardCount];
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.traces.find(request);
    return found == shard.traces.end() ? std::nullopt : std::optional(found->second);
}

} // namespace auburndoor
