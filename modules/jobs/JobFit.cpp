#include "jobs/JobFit.h"

#include "core/Failure.h"

#include <algorithm>
#include <limits>

namespace auburndoor {

namespace {

/** The job's row is written whole in each round; with more tasks it would exceed about 200 KiB. */
constexpr int taskCountLimit = 2000;

/** How many tasks of a need an empty worker holds. */
std::int64_t placesOn(const Resources &capacity, const Resources &need)
{
    auto places = std::numeric_limits<std::int64_t>::max();
    const auto limit = [&places](std::int64_t has, std::int64_t wants) {
        if (wants > 0) {
            places = std::min(places, has / wants);
        }
    };
    limit(capacity.milliCores, need.milliCores);
    limit(capacity.memoryMiB, need.memoryMiB);
    limit(capacity.accelerators, need.accelerators);
    limit(capacity.slots, need.slots);
    limit(capacity.connections, need.connections);
    return places;
}

/** What a need has beyond a capacity. */
Resources shortfall(const Resources &need, const Resources &capacity)
{
    const auto beyond = [](std::int64_t wants, std::int64_t has) { return std::max<std::int64_t>(wants - has, 0); };
    return { beyond(need.milliCores, capacity.milliCores),
             beyond(need.memoryMiB, capacity.memoryMiB),
             beyond(need.accelerators, capacity.accelerators),
             beyond(need.slots, capacity.slots),
             beyond(need.connections, capacity.connections) };
}

/** The sum, over all resources, of the part of the need that is missing; 0 for a fit. */
double distance(const Resources &need, const Resources &capacity)
{
    const auto missing = shortfall(need, capacity);
    const auto part = [](std::int64_t lacks, std::int64_t wants) {
        return wants > 0 ? static_cast<double>(lacks) / static_cast<double>(wants) : 0.0;
    };
    return part(missing.milliCores, need.milliCores) + part(missing.memoryMiB, need.memoryMiB)
           + part(missing.accelerators, need.accelerators) + part(missing.slots, need.slots)
           + part(missing.connections, need.connections);
}

bool isSensible(const JobDeclaration &job, Failure &failure)
{
    if (job.taskCount < 1 || job.taskCount > taskCountLimit) {
        failure = { FailureStep::Validate,
                    {},
                    FailureReason::OutOfRange,
                    "taskCount " + std::to_string(job.taskCount) + " is not in 1.." + std::to_string(taskCountLimit) };
        return false;
    }
    if (!job.need.isValid() || job.need == Resources {}) {
        failure = { FailureStep::Validate, {}, FailureReason::OutOfRange, "need has a negative amount, or none above zero" };
        return false;
    }
    if (job.maximumAttempts < 1) {
        failure = { FailureStep::Validate, {}, FailureReason::OutOfRange, "maximumAttempts is below 1" };
        return false;
    }
    return true;
}

} // namespace

bool canEverFit(const JobDeclaration &job, std::span<const WorkerCapacity> workers, Failure &failure)
{
    if (!isSensible(job, failure)) {
        return false;
    }
    const WorkerCapacity *nearest = nullptr;
    std::int64_t places = 0;
    for (const auto &worker : workers) {
        if (worker.service != job.service) {
            continue;
        }
        places += std::min<std::int64_t>(placesOn(worker.capacity, job.need), job.taskCount);
        if (nearest == nullptr || distance(job.need, worker.capacity) < distance(job.need, nearest->capacity)) {
            nearest = &worker;
        }
    }
    if (nearest == nullptr) {
        failure = {
            FailureStep::Validate, {}, FailureReason::UnknownName, "the service " + job.service.text() + " has no workers"
        };
        return false;
    }
    if (places == 0) {
        failure = { FailureStep::Validate,
                    {},
                    FailureReason::NeverFits,
                    "a task needs " + job.need.text() + "; the nearest fit is worker " + nearest->worker.text() + " with "
                        + nearest->capacity.text() + ", which lacks " + shortfall(job.need, nearest->capacity).text() };
        return false;
    }
    if (job.kind == JobKind::Gang && places < job.taskCount) {
        failure = { FailureStep::Validate,
                    {},
                    FailureReason::NeverFits,
                    "a gang of " + std::to_string(job.taskCount) + " tasks of " + job.need.text()
                        + " each does not fit; the nearest fit is a gang of " + std::to_string(places) };
        return false;
    }
    return true;
}

} // namespace auburndoor
