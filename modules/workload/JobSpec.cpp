#include "workload/JobSpec.h"

namespace auburndoor {

std::int64_t JobSpec::taskCount() const
{
    std::int64_t count = 0;
    for (const auto &step : steps) {
        count += step.taskCount;
    }
    return count;
}

} // namespace auburndoor
