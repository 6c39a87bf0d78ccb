#include "core/Resources.h"

#include <algorithm>

namespace auburndoor {

bool Resources::fitsIn(const Resources &other) const
{
    return milliCores <= other.milliCores && memoryMiB <= other.memoryMiB && accelerators <= other.accelerators
           && slots <= other.slots && connections <= other.connections;
}

bool Resources::isValid() const
{
    constexpr std::int64_t maxAmount = 1'000'000'000'000;
    const auto isUsable = [](std::int64_t amount) { return amount >= 0 && amount <= maxAmount; };
    return isUsable(milliCores) && isUsable(memoryMiB) && isUsable(accelerators) && isUsable(slots) && isUsable(connections);
}

Resources &Resources::operator+=(const Resources &other)
{
    milliCores += other.milliCores;
    memoryMiB += other.memoryMiB;
    accelerators += other.accelerators;
    slots += other.slots;
    connections += other.connections;
    return *this;
}

Resources &Resources::operator-=(const Resources &other)
{
    milliCores -= other.milliCores;
    memoryMiB -= other.memoryMiB;
    accelerators -= other.accelerators;
    slots -= other.slots;
    connections -= other.connections;
    return *this;
}

std::string Resources::text() const
{
    std::string text;
    const auto append = [&text](std::int64_t amount, const char *unit) {
        if (amount == 0) {
            return;
        }
        text += (text.empty() ? "" : ", ") + std::to_string(amount) + unit;
    };
    append(milliCores, "m cores");
    append(memoryMiB, " MiB");
    append(accelerators, " accelerators");
    append(slots, " slots");
    append(connections, " connections");
    return text.empty() ? "nothing" : text;
}

double dominantShare(const Resources &use, const Resources &capacity)
{
    const auto share = [](std::int64_t used, std::int64_t available) {
        return available > 0 ? static_cast<double>(used) / static_cast<double>(available) : 0.0;
    };
    return std::max({ share(use.milliCores, capacity.milliCores),
                      share(use.memoryMiB, capacity.memoryMiB),
                      share(use.accelerators, capacity.accelerators),
                      share(use.slots, capacity.slots) });
}

} // namespace auburndoor
