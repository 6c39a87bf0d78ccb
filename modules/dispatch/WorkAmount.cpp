#include "dispatch/WorkAmount.h"

#include <algorithm>

namespace auburndoor {

namespace {

// Workers with accelerators have about eight cores for each of them.
constexpr double milliCoresOfAccelerator = 8000;
// Several hours of a large worker. The sum over the largest job stays in the range of the type.
constexpr double maxWorkOfTask = 1e12;

} // namespace

WorkAmount workOf(const Resources &need, Milliseconds duration)
{
    // Clients choose both factors, whose product may leave the type.
    const auto work = (static_cast<double>(need.milliCores) + static_cast<double>(need.accelerators) * milliCoresOfAccelerator)
                      * static_cast<double>(duration.count());
    return static_cast<WorkAmount>(std::clamp(work, 0.0, maxWorkOfTask));
}

} // namespace auburndoor
