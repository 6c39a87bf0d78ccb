#include "net/ConnectionMemory.h"

#include <algorithm>

namespace auburndoor {

namespace {

// Percent of the capacity. The rest of the budget is for readiness and operators, whose requests have no bodies.
constexpr std::size_t clientPercent = 60;
constexpr std::size_t peerPercent = 34;
constexpr std::size_t controlPercent = 6;
// Requests that are not small leave a quarter of their part to small ones.
constexpr std::size_t largePercent = 75;
constexpr std::size_t percents = 100;
// A fall by less than this isn't worth trimming the heap.
constexpr std::size_t minimumFall = std::size_t(256) << 10;
// Many requests one after the other leave a heap of small holes, although little is used at a time.
constexpr std::size_t maxTurnover = std::size_t(8) << 20;

std::size_t indexOf(ConnectionPurpose purpose)
{
    return static_cast<std::size_t>(purpose);
}

} // namespace

ConnectionMemory::ConnectionMemory(std::size_t capacityBytes)
    : capacities_ { capacityBytes / percents * clientPercent,
                    capacityBytes / percents * peerPercent,
                    capacityBytes / percents * controlPercent }
{
}

bool ConnectionMemory::tryTake(ConnectionPurpose purpose, std::size_t bytes, bool isSmall)
{
    const auto capacity = capacities_[indexOf(purpose)];
    const auto limit = isSmall ? capacity : capacity / percents * largePercent;
    if (used_[indexOf(purpose)] + bytes > limit) {
        return false;
    }
    take(purpose, bytes);
    return true;
}

void ConnectionMemory::take(ConnectionPurpose purpose, std::size_t bytes)
{
    used_[indexOf(purpose)] += bytes;
    totalUsed_ += bytes;
    peak_ = std::max(peak_, totalUsed_);
    turnover_ += bytes;
}

void ConnectionMemory::release(ConnectionPurpose purpose, std::size_t bytes)
{
    used_[indexOf(purpose)] -= bytes;
    totalUsed_ -= bytes;
    const bool hasFallen = totalUsed_ <= peak_ / 2 && (peak_ - totalUsed_ >= minimumFall || turnover_ >= maxTurnover);
    if (!isFallReported_ && onFallen && hasFallen) {
        isFallReported_ = true;
        onFallen();
    }
}

std::size_t ConnectionMemory::capacity(ConnectionPurpose purpose) const
{
    return capacities_[indexOf(purpose)];
}

std::size_t ConnectionMemory::used(ConnectionPurpose purpose) const
{
    return used_[indexOf(purpose)];
}

std::size_t ConnectionMemory::used() const
{
    return totalUsed_;
}

void ConnectionMemory::noteReleased()
{
    peak_ = totalUsed_;
    turnover_ = 0;
    isFallReported_ = false;
}

} // namespace auburndoor
