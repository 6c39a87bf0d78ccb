#include "dispatch/RunForecast.h"
#include "dispatch/TaskPlacer.h"
#include "observability/EventLog.h"

#include <algorithm>
#include <limits>

namespace auburndoor {

namespace {

// Runs are looked at only once so many expected run times are left until the objective: earlier, one that is slow can still be
// moved later.
constexpr int maxRunTimesLeft = 4;
constexpr Milliseconds minElapsedBeforeMove { 500 };

} // namespace

void TaskPlacer::moveSlowRuns(StepState &step)
{
    const auto &spec = step.spec();
    if (!JobManager::makeClaim(step).isPreemptible || spec.allowsCopies || movesLeft_ <= 0 || step.isDone()) {
        return;
    }
    const auto &job = *step.job;
    // A run that is stopped while its account is at its limit, as after the limit was lowered, might not start again.
    if (quotas_.isAtLimit(step, now_)) {
        return;
    }
    // By an estimate alone, a slow worker cannot be told from a task that takes longer than its submitter thought.
    if (!job.isTimeLearned(static_cast<std::size_t>(step.index))) {
        return;
    }
    const auto occurrence = job.occurrences.find(step.occurrence);
    const auto expected = job.expectedTime(static_cast<std::size_t>(step.index));
    const auto laterTime = occurrence == job.occurrences.end() ? Milliseconds(0)
                                                               : job.remainingPathTime(occurrence->second) - expected;
    const auto timeLeft = std::chrono::duration_cast<Milliseconds>(job.objectiveOf(step.occurrence) - now_ - laterTime);
    if (expected <= Milliseconds(0) || timeLeft < expected / maxRunTimesLeft || timeLeft > expected * maxRunTimesLeft) {
        return;
    }
    for (std::size_t index = 0; index < step.tasks.size() && movesLeft_ > 0; ++index) {
        movesLeft_ -= moveIfSlow(step, static_cast<int>(index), timeLeft) ? 1 : 0;
    }
}

bool TaskPlacer::moveIfSlow(StepState &step, int index, Milliseconds timeLeft)
{
    auto &task = step.tasks[static_cast<std::size_t>(index)];
    if (task.isDone || task.wasMoved || task.runs.size() != 1 || task.crashes.suspicion() != Suspicion::None) {
        return false;
    }
    const auto place = task.runs.front();
    const auto *worker = fleet_.worker(place.worker);
    const auto *run = fleet_.run(place.worker, { { step.job->spec.id, step.occurrence, step.index, index }, place.attempt });
    if (worker == nullptr || run == nullptr || run->phase != Run::Phase::Running
        || now_ - run->confirmedAt < minElapsedBeforeMove) {
        return false;
    }
    const auto expected = step.job->expectedTime(static_cast<std::size_t>(step.index));
    const auto forecast = RunForecast::of(*run, expected, worker->speed, !task.checkpoint.empty(), now_);
    // The search for another worker takes longer than the forecast.
    if (!forecast.gainsByMove(timeLeft, std::numeric_limits<double>::max())) {
        return false;
    }
    const auto candidates = findCandidates(step);
    const bool hasFasterWorker = std::any_of(candidates.begin(), candidates.end(), [&](const Candidate &candidate) {
        const auto &other = *candidate.workerCapacity->worker;
        return other.entry.id != place.worker && forecast.gainsByMove(timeLeft, other.speed);
    });
    if (!hasFasterWorker) {
        return false;
    }
    EventLog::writeRateLimited("run.moved",
                               { { "task", run->key.task.text() },
                                 { "attempt", place.attempt },
                                 { "worker", place.worker },
                                 { "token", jobManager_.fencingToken_ },
                                 { "percent", run->percent },
                                 { "remaining_ms", forecast.remainingHere.count() },
                                 { "left_ms", timeLeft.count() } });
    task.wasMoved = true;
    task.failedOn = place.worker;
    jobManager_.stopRun(step, index, place, "too slow here");
    return true;
}

} // namespace auburndoor
