#include "dispatch/StepOrder.h"
#include "dispatch/TaskPlacer.h"

#include <algorithm>
#include <utility>

namespace auburndoor {

namespace {

// A longer round is interrupted, so that it delays heartbeats and client calls by less than a tenth of their timeouts.
constexpr Milliseconds maxRoundDuration { 10 };
// Ranks, permits and the usability of workers also change by the passing of time, which only a full reading shows.
constexpr Milliseconds readAllInterval { 200 };
// Inherited jobs may start as soon as the last report of their service's workers is read.
constexpr Milliseconds readAllIntervalWhileRecovering { 30 };
// A full reading takes a twentieth of the time, unless that would delay it for too long.
constexpr int readAllPauseFactor = 20;
constexpr Milliseconds maxReadAllInterval { 500 };
// The clock is read after each search, and after this many steps that were passed over.
constexpr int stepsForReadingOfClock = 64;

} // namespace

PlacementStatistics TaskPlacer::takeStatistics()
{
    return std::exchange(statistics_, {});
}

bool TaskPlacer::place()
{
    const auto startedAt = timers_.now();
    const bool isComplete = runRound();
    const auto duration = std::chrono::duration_cast<std::chrono::microseconds>(timers_.now() - startedAt);
    ++statistics_.rounds;
    statistics_.interruptedRounds += isComplete ? 0 : 1;
    statistics_.duration += duration;
    statistics_.longestRound = std::max(statistics_.longestRound, duration);
    return isComplete;
}

bool TaskPlacer::runRound()
{
    now_ = timers_.now();
    unreadByService_.clear();
    unsendableAdviceTime_ = Milliseconds::max();
    if (now_ >= readAllAt_) {
        readAll();
        const auto duration = std::chrono::duration_cast<Milliseconds>(timers_.now() - now_);
        const auto interval = hasJobsWaitingForReports_ ? readAllIntervalWhileRecovering : readAllInterval;
        readAllAt_ = now_ + std::clamp(duration * readAllPauseFactor, interval, maxReadAllInterval);
    } else {
        applyChanges();
    }
    updateInheritedUse();
    advanceStepsBelowShare();
    auto &entries = readySteps_.entries();
    statistics_.backlog = static_cast<long long>(entries.size());
    // The time for following the changes does not count, or it could use up all rounds under load.
    now_ = timers_.now();
    auto next = placeSteps(entries.begin(), now_ + maxRoundDuration / 2);
    if (next == entries.end()) {
        resumeAt_.reset();
        return true;
    }
    // The steps in front have had their turn. The others have theirs in the second half, so that searches in vain in front do not
    // keep them from free room.
    if (resumeAt_ && next->first < *resumeAt_) {
        next = entries.lower_bound(*resumeAt_);
    }
    next = placeSteps(next, now_ + maxRoundDuration / 2);
    resumeAt_ = next == entries.end() ? std::nullopt : std::optional(next->first);
    return false;
}

ReadySteps::Entries::iterator TaskPlacer::placeSteps(ReadySteps::Entries::iterator first, TimePoint end)
{
    auto &entries = readySteps_.entries();
    auto next = first;
    int passedOver = 0;
    while (next != entries.end() && now_ < end) {
        if (const auto following = demote(next)) {
            next = *following;
            continue;
        }
        auto &step = *next->second;
        ++statistics_.stepsPassed;
        isTurnAboveShare_ = next->first.isAboveShare;
        if (hasUsedItsShare(step)) {
            next = putBehindShares(next);
            continue;
        }
        if (!placeStep(step)) {
            ++next;
            if (++passedOver % stepsForReadingOfClock == 0) {
                now_ = timers_.now();
            }
            continue;
        }
        if (!step.hasTasksToPlace()) {
            next = readySteps_.erase(next);
        } else {
            next = hasUsedItsShare(step) ? putBehindShares(next) : std::next(next);
        }
        now_ = timers_.now();
    }
    return next;
}

void TaskPlacer::readAll()
{
    applyChanges();
    readySteps_.clear();
    reservedRoom_.clear();
    servicesWithHold_.clear();
    scarcityReadings_.clear();
    hasJobsWaitingForReports_ = false;
    hasReadMostWorkers_ = fleet_.hasReadMostWorkers();
    statistics_.workersVisited += static_cast<long long>(fleet_.workers().size());
    for (const auto &[id, worker] : fleet_.workers()) {
        worker->speed = jobManager_.speeds().speed(worker->entry);
        getServiceCapacity(worker->entry.service).update(*worker, fleet_.isUsable(*worker));
        shares_.update(*worker, fleet_.isUsable(*worker));
    }
    for (auto &[service, serviceCapacity] : serviceCapacities_) {
        serviceCapacity.tightenBounds();
    }
    isReadingAll_ = true;
    for (const auto &[id, job] : jobManager_.jobs()) {
        addJob(*job);
    }
    isReadingAll_ = false;
    updateScarcity();
    updateLimitReport();
    preemptForLimits();
    updateShares();
}

void TaskPlacer::applyChanges()
{
    auto jobs = jobManager_.takeChangedJobs();
    std::sort(jobs.begin(), jobs.end());
    jobs.erase(std::unique(jobs.begin(), jobs.end()), jobs.end());
    for (const auto &id : jobs) {
        updateJob(id);
    }
    for (const auto &id : fleet_.takeChangedWorkers()) {
        updateWorker(id);
    }
}

void TaskPlacer::updateJob(const std::string &id)
{
    readySteps_.removeJob(id);
    dropReservations(id, nullptr);
    const auto found = jobManager_.jobs().find(id);
    if (found != jobManager_.jobs().end()) {
        addJob(*found->second);
    }
}

void TaskPlacer::updateWorker(const std::string &id)
{
    ++statistics_.workersVisited;
    auto *worker = fleet_.worker(id);
    auto known = serviceOfWorker_.find(id);
    if (known != serviceOfWorker_.end() && (worker == nullptr || worker->entry.service != known->second)) {
        getServiceCapacity(known->second).remove(id);
        serviceOfWorker_.erase(known);
    }
    if (worker == nullptr) {
        jobManager_.speeds().forget(id);
        shares_.remove(id);
        return;
    }
    serviceOfWorker_[id] = worker->entry.service;
    getServiceCapacity(worker->entry.service).update(*worker, fleet_.isUsable(*worker));
    shares_.update(*worker, fleet_.isUsable(*worker));
}

void TaskPlacer::addJob(JobState &job)
{
    const bool isStartable = mayStart(job);
    // Advice for a job is already requested while its record is being stored.
    const bool mayRequestAdvice = job.stage == JobStage::Recording && job.queue.advice.has_value();
    const bool isReady = isStartable || mayRequestAdvice;
    for (auto &[number, occurrence] : job.occurrences) {
        for (auto &step : occurrence.steps) {
            reserveCapacity(step);
            const bool mayEnter = isReady || (!isStartable && mayRequestAdviceEarly(step));
            if (!mayEnter || !step.hasTasksToPlace() || !occurrence.isReady(step)) {
                continue;
            }
            if (job.stage == JobStage::Recording || job.isServiceStored()) {
                auto rank = computeRank(step);
                followDemand(step);
                rank.isAboveShare = isAboveShare(step);
                readySteps_.insert(rank, step);
            } else {
                jobManager_.storeService(job);
            }
        }
    }
}

void TaskPlacer::dropReservations(const std::string &job, const void *step)
{
    const auto found = reservedRoom_.find(job);
    if (found == reservedRoom_.end()) {
        return;
    }
    std::erase_if(found->second, [&](const ReservedRoom &room) {
        if (step != nullptr && room.step != step) {
            return false;
        }
        auto &serviceCapacity = getServiceCapacity(room.service);
        if (auto *workerCapacity = serviceCapacity.find(room.worker)) {
            std::erase_if(workerCapacity->reservations, [&](const auto &reservation) { return reservation.step == room.step; });
        }
        serviceCapacity.noteGrowth(room.worker);
        return true;
    });
    if (found->second.empty()) {
        reservedRoom_.erase(found);
    }
}

void TaskPlacer::reserveCapacity(StepState &step)
{
    dropReservations(step.job->spec.id, &step);
    reservePlannedCapacity(step);
    reserveHeldCapacity(step);
}

void TaskPlacer::reserveOnWorker(const StepState &step, const std::string &worker, int count)
{
    auto &serviceCapacity = getServiceCapacity(step);
    auto *workerCapacity = serviceCapacity.find(worker);
    if (workerCapacity == nullptr || count <= 0) {
        return;
    }
    const auto claim = JobManager::makeClaim(step);
    workerCapacity->reservations.insert(
        workerCapacity->reservations.end(), static_cast<std::size_t>(count), { &step, claim.priority, claim.need });
    reservedRoom_[step.job->spec.id].push_back({ &step, step.job->queue.service, worker });
}

bool TaskPlacer::mayStart(const JobState &job)
{
    if (job.stage != JobStage::Queued && job.stage != JobStage::Running) {
        return false;
    }
    if (!job.isInherited || !mayHaveUnknownRuns(job)) {
        return true;
    }
    hasJobsWaitingForReports_ = true;
    return false;
}

bool TaskPlacer::mayRequestAdviceEarly(const StepState &step) const
{
    const auto &job = *step.job;
    const bool isRestored = job.stage == JobStage::Queued || job.stage == JobStage::Running;
    return isRestored && hasReadMostWorkers_ && job.queue.advice && !step.advice.wasRequested && step.isRepair();
}

bool TaskPlacer::mayHaveUnknownRuns(const JobState &job)
{
    // Owners of earlier releases did not store the services that a queue has moved to, so the present one counts in any case.
    return hasUnreadWorkers(job.queue.service) || std::any_of(job.services.begin(), job.services.end(), [this](const auto &entry) {
               return hasUnreadWorkers(entry.first);
           });
}

bool TaskPlacer::hasUnreadWorkers(const std::string &service)
{
    const auto [found, isNew] = unreadByService_.try_emplace(service);
    if (isNew) {
        found->second = fleet_.hasUnreadWorkers(service);
    }
    return found->second;
}

ServiceCapacity &TaskPlacer::getServiceCapacity(const StepState &step)
{
    return getServiceCapacity(step.job->queue.service);
}

ServiceCapacity &TaskPlacer::getServiceCapacity(const std::string &service)
{
    const auto found = serviceCapacities_.find(service);
    if (found != serviceCapacities_.end()) {
        return found->second;
    }
    ServiceCapacity capacity([this](const Run &run) { return computeStopCost(run); },
                             [this, service](const Run &run) {
                                 const double room = shares_.roomBelowLevel(service, run.claim.account);
                                 return room > 0 && shares_.hasLevels(service);
                             });
    return serviceCapacities_.emplace(service, std::move(capacity)).first->second;
}

} // namespace auburndoor
