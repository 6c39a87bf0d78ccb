#include "workload/DesiredState.h"

#include <algorithm>

namespace auburndoor {

const QueueSpec *DesiredState::route(std::string_view host, std::string_view path) const
{
    const QueueSpec *best = nullptr;
    for (const auto &queue : queues) {
        if (queue.host == host && path.starts_with(queue.pathPrefix)
            && (best == nullptr || queue.pathPrefix.size() > best->pathPrefix.size())) {
            best = &queue;
        }
    }
    return best;
}

const QueueSpec *DesiredState::queue(std::string_view name) const
{
    const auto found = std::find_if(queues.begin(), queues.end(), [name](const QueueSpec &queue) { return queue.name == name; });
    return found == queues.end() ? nullptr : &*found;
}

} // namespace auburndoor
