#include "net/EvictionOrder.h"

#include <algorithm>

namespace auburndoor {

std::vector<std::size_t> EvictionOrder::choose(std::vector<EvictionCandidate> candidates,
                                               bool isForMemory,
                                               std::size_t capacity,
                                               std::size_t connectionCount)
{
    constexpr std::size_t memoryPart = 8;
    constexpr std::size_t connectionPart = 16;
    std::erase_if(candidates, [](const EvictionCandidate &candidate) { return candidate.age < minimumAge; });
    std::sort(candidates.begin(), candidates.end(), [isForMemory](const EvictionCandidate &left, const EvictionCandidate &right) {
        if (left.isKept != right.isKept) {
            return right.isKept;
        }
        if (isForMemory && left.bytes != right.bytes) {
            return left.bytes > right.bytes;
        }
        return left.age != right.age ? left.age > right.age : left.index < right.index;
    });
    std::vector<std::size_t> chosen;
    std::size_t freed = 0;
    for (const auto &candidate : candidates) {
        if (isForMemory ? freed >= capacity / memoryPart : chosen.size() > connectionCount / connectionPart) {
            break;
        }
        chosen.push_back(candidate.index);
        freed += candidate.bytes;
    }
    return chosen;
}

} // namespace auburndoor
