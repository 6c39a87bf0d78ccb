#include "dispatch/WorkAmount.h"

namespace auburndoor {

namespace {

// Workers with accelerators have about eight cores for each of them.
constexpr std::int64_t milliCoresOfAccelerator = 8000;

} // namespace

WorkAmount workOf(const Resources &need, Milliseconds duration)
{
    return (need.milliCores + need.accelerators * milliCoresOfAccelerator) * duration.count();
}

} // namespace auburndoor
