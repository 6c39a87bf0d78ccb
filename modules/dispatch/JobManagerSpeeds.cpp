#include "dispatch/JobManager.h"
#include "observability/EventLog.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

namespace auburndoor {

namespace {

// Speeds are logged in thousandths, as numbers in the log are integers.
constexpr double loggedSpeedUnit = 0.001;

// Longer names come from nobody who wants them learned, and would take memory.
constexpr std::size_t maxImageName = 256;
// The report of an end may be late by more than a run that is as short has taken.
constexpr Milliseconds minMeasuredTime { 50 };

std::int64_t toLogged(double speed)
{
    return std::llround(speed / loggedSpeedUnit);
}

bool hasLearnableImage(const StepSpec &step)
{
    return !step.image.empty() && step.image.size() <= maxImageName;
}

/** True if tasks of the step run at the full speed of their worker, as far as the scheduler can tell. */
bool isRepresentative(const StepSpec &step, const WorkerEntry &worker)
{
    const bool isLocal = step.dataRack.empty() || worker.rack() == step.dataRack;
    return isLocal && !step.isService && !step.fillsIdleCapacity;
}

void logImageTime(const std::string &service, const StepSpec &step, const WorkerSpeeds::Changes &changes)
{
    if (changes.imageTime) {
        EventLog::writeRateLimited("image.time",
                                   { { "image", step.image },
                                     { "service", service },
                                     { "time_ms", changes.imageTime->count() },
                                     { "estimate_ms", step.estimate.count() } });
    }
}

} // namespace

WorkerSpeeds &JobManager::speeds()
{
    return speeds_;
}

const WorkerSpeeds &JobManager::speeds() const
{
    return speeds_;
}

void JobManager::followImageTimes(JobState &job)
{
    job.imageTimes.clear();
    for (const auto &step : job.spec.steps) {
        job.imageTimes.push_back(hasLearnableImage(step) ? speeds_.imageTime(job.queue.service, step.image, timers_.now())
                                                         : nullptr);
    }
}

void JobManager::runMeasured(const std::string &id, const Run &run, Milliseconds runTime)
{
    const auto &name = run.key.task;
    auto *job = find(name.job);
    const auto *step = job == nullptr ? nullptr : job->step(name.occurrence, name.step);
    auto *worker = fleet_->worker(id);
    if (step == nullptr || worker == nullptr || runTime < minMeasuredTime) {
        return;
    }
    const auto &spec = step->spec();
    if (!hasLearnableImage(spec) || !isRepresentative(spec, worker->entry)) {
        return;
    }
    if (spec.isGang) {
        learnFromGang(*job, *step, runTime);
        return;
    }
    const auto changes = speeds_.addEnd(worker->entry, spec.image, runTime, timers_.now());
    worker->speed = speeds_.speed(worker->entry);
    logImageTime(job->queue.service, spec, changes);
    if (changes.speed) {
        EventLog::writeRateLimited("worker.speed",
                                   { { "worker", id },
                                     { "service", worker->entry.service },
                                     { "before_thousandths", toLogged(changes.speed->first) },
                                     { "after_thousandths", toLogged(changes.speed->second) } });
    }
}

void JobManager::learnFromGang(const JobState &job, const StepState &step, Milliseconds runTime)
{
    if (step.isDone()) {
        return;
    }
    double slowest = std::numeric_limits<double>::max();
    std::set<std::string> racks;
    for (const auto &task : step.tasks) {
        for (const auto &place : task.runs) {
            if (const auto *worker = fleet_->worker(place.worker)) {
                slowest = std::min(slowest, worker->speed);
                racks.insert(worker->entry.rack());
            }
        }
    }
    // Members that prefer one rack are slower when they are spread.
    if (racks.empty() || (step.spec().prefersOneRack && racks.size() > 1)) {
        return;
    }
    const auto &service = job.queue.service;
    logImageTime(service, step.spec(), speeds_.addGangEnd(service, step.spec().image, runTime, slowest, timers_.now()));
}

} // namespace auburndoor
