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

std::string TaskName::text() const
{
    return job + "." + std::to_string(occurrence) + "." + std::to_string(step) + "." + std::to_string(index);
}

} // namespace auburndoor
