// Asio 1.74 uses std::exchange without including <utility>.
#include <utility>

#include "net/EventLoop.h"
#include "net/EvictionOrder.h"
#include "net/HttpListenerContext.h"
#include "net/HttpSession.h"

namespace auburndoor {

namespace {

// Each search looks at all connections, so that a peak of connections must not cause one for each.
constexpr Milliseconds evictionInterval { 100 };

} // namespace

void HttpListenerContext::closeLargest()
{
    evict(true);
}

void HttpListenerContext::closeLongestOpen()
{
    evict(false);
}

void HttpListenerContext::evict(bool isForMemory)
{
    const auto now = loop.now();
    if (!memory || now - lastEvictionAt < evictionInterval) {
        return;
    }
    lastEvictionAt = now;
    std::vector<EvictionCandidate> candidates;
    std::vector<std::shared_ptr<HttpSession>> owners;
    for (auto *session : sessions) {
        if (auto candidate = session->evictionCandidate(now)) {
            candidate->index = owners.size();
            candidates.push_back(*candidate);
            owners.push_back(session->shared_from_this());
        }
    }
    for (const auto index : EvictionOrder::choose(std::move(candidates), isForMemory, memory->capacity(purpose), sessions.size())) {
        if (owners[index]->evict()) {
            ++memory->refusals.evictions;
        }
    }
}

} // namespace auburndoor
