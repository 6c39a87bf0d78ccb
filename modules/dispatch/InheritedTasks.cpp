#include "dispatch/InheritedTasks.h"

#include "dispatch/JobState.h"

#include <algorithm>

namespace auburndoor {

namespace {

InheritedTasks readSteps(const JobState &job)
{
    InheritedTasks result;
    result.account = job.spec.account;
    // Owners of earlier releases did not store the services that a queue has moved to, so the present one counts in any case.
    result.services.insert(job.queue.service);
    for (const auto &[service, isStored] : job.services) {
        result.services.insert(service);
    }
    for (const auto &step : job.spec.steps) {
        result.steps.push_back({ step.need, step.fillsIdleCapacity, 0 });
    }
    return result;
}

} // namespace

InheritedTasks InheritedTasks::of(const JobState &job)
{
    auto result = readSteps(job);
    for (const auto &[number, occurrence] : job.occurrences) {
        for (const auto &step : occurrence.steps) {
            result.steps[static_cast<std::size_t>(step.index)].count += std::count_if(
                step.tasks.begin(), step.tasks.end(), [](const Task &task) { return task.isIdle(); });
        }
    }
    return result;
}

InheritedTasks InheritedTasks::ofDescription(const JobState &job)
{
    auto result = readSteps(job);
    for (std::size_t index = 0; index < result.steps.size(); ++index) {
        result.steps[index].count = std::int64_t(job.spec.steps[index].taskCount) * job.spec.occurrences;
    }
    return result;
}

} // namespace auburndoor
