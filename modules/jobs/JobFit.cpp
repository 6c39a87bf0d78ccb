#include "jobs/JobFit.h"

#include "core/Failure.h"

#include <algorithm>
#include <limits>

namespace auburndoor {

namespace {

/** Each save writes the whole row of a job; with more tasks it would exceed about 200 KiB. */
constexpr int taskCountLimit = 2000;

/** How many tasks with this need fit on an idle worker. */
std::int64_t countPlaces(const Resources &capacity, const Resources &need)
{
    auto places = std::numeric_limits<std::int64_t>::max();
    const auto limitBy = [&places](std::int64_t available, std::int64_t needed) {
        if (needed > 0) {
            places = std::min(places, available / needed);
        }
    };
    limitBy(capacity.milliCores, need.milliCores);
    limitBy(capacity.memoryMiB, need.memoryMiB);
    limitBy(capacity.accelerators, need.accelerators);
    limitBy(capacity.slots, need.slots);
    limitBy(capacity.connections, need.connections);
    return places;
}

/** The amounts by which a need exceeds a capacity; 0 for each resource that suffices. */
Resources calculateShortfall(const Resources &need, const Resources &capacity)
{
    const auto calculateMissing = [](std::int64_t needed, std::int64_t available) {
        return std::max<std::int64_t>(needed - available, 0);
    };
    return { calculateMissing(need.milliCores, capacity.milliCores),
             calculateMissing(need.memoryMiB, capacity.memoryMiB),
             calculateMissing(need.accelerators, capacity.accelerators),
             calculateMissing(need.slots, capacity.slots),
             calculateMissing(need.connections, capacity.connections) };
}

/** The sum over all resources of the missing fraction of the need; 0 if the need fits. */
double sumMissingFractions(const Resources &need, const Resources &capacity)
{
    const auto missing = calculateShortfall(need, capacity);
    const auto calculateFraction = [](std::int64_t missingAmount, std::int64_t needed) {
        return needed > 0 ? static_cast<double>(missingAmount) / static_cast<double>(needed) : 0.0;
    };
    return calculateFraction(missing.milliCores, need.milliCores) + calculateFraction(missing.memoryMiB, need.memoryMiB)
           + calculateFraction(missing.accelerators, need.accelerators) + calculateFraction(missing.slots, need.slots)
           + calculateFraction(missing.connections, need.connections);
}

bool hasValidAmounts(const JobDeclaration &job, Failure &failure)
{
    if (job.taskCount < 1 || job.taskCount > taskCountLimit) {
        failure = { FailureStep::Validate,
                    {},
                    FailureReason::OutOfRange,
                    "taskCount " + std::to_string(job.taskCount) + " is not in 1.." + std::to_string(taskCountLimit) };
        return false;
    }
    if (!job.need.isValid() || job.need == Resources {}) {
        failure = { FailureStep::Validate, {}, FailureReason::OutOfRange, "need has a negative amount or no amount above zero" };
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
    if (!hasValidAmounts(job, failure)) {
        return false;
    }
    const WorkerCapacity *nearest = nullptr;
    std::int64_t places = 0;
    for (const auto &worker : workers) {
        if (worker.service != job.service) {
            continue;
        }
        places += std::min<std::int64_t>(countPlaces(worker.capacity, job.need), job.taskCount);
        if (nearest == nullptr
            || sumMissingFractions(job.need, worker.capacity) < sumMissingFractions(job.need, nearest->capacity)) {
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
                        + nearest->capacity.text() + ", which lacks " + calculateShortfall(job.need, nearest->capacity).text() };
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
