#include "dispatch/StepOrder.h"

#include "dispatch/TaskPlacer.h"

#include <algorithm>

namespace auburndoor {

namespace {

/** True if less than half of the slack is left that the job had when it came: work with time to spare can wait for a burst to end.
 */
bool isRunningOut(const StepState &step, TimePoint now)
{
    const auto &job = *step.job;
    const auto allowed = std::chrono::duration_cast<Milliseconds>(job.objective - job.receivedAt) - job.criticalPathTime();
    return job.spec.isScheduled || step.spec().isService || slackLeft(step, now) < allowed / 2;
}

/** The work of all tasks of one occurrence, by their estimates. */
WorkAmount totalWork(const JobState &job)
{
    WorkAmount work = 0;
    for (const auto &step : job.spec.steps) {
        work += workOfTask(step) * step.taskCount;
    }
    return work;
}

std::int64_t scarcityKey(const StepState &step, TimePoint now, const ScarcityOrder &scarcity)
{
    const auto &job = *step.job;
    const auto occurrence = job.occurrences.find(step.occurrence);
    if (step.spec().isService || job.spec.isScheduled || occurrence == job.occurrences.end()) {
        return 0;
    }
    const auto work = remainingWork(job, occurrence->second);
    const auto total = totalWork(job);
    const auto left = slackLeft(step, now);
    if (left >= Milliseconds(0)) {
        const auto allowed = std::chrono::duration_cast<Milliseconds>(job.objective - job.receivedAt) - job.criticalPathTime();
        return scarcity.keyOf(job.queue.name, { work, total, left, allowed, false });
    }
    const auto extension = std::chrono::duration_cast<Milliseconds>(job.finalDeadlineOf(step.occurrence) - job.objective);
    return scarcity.keyOf(job.queue.name, { work, total, left + extension, extension, true });
}

} // namespace

WorkAmount workOfTask(const StepSpec &step)
{
    return step.isService || step.fillsIdleCapacity ? 0 : workOf(step.need, step.estimate);
}

WorkAmount remainingWork(const JobState &job, const OccurrenceState &occurrence)
{
    WorkAmount work = 0;
    for (const auto &step : occurrence.steps) {
        const auto &spec = job.spec.steps[static_cast<std::size_t>(step.index)];
        work += workOfTask(spec) * (static_cast<WorkAmount>(step.tasks.size()) - step.doneCount);
    }
    return work;
}

Milliseconds slackLeft(const StepState &step, TimePoint now)
{
    const auto &job = *step.job;
    const auto occurrence = job.occurrences.find(step.occurrence);
    if (step.spec().isService || job.spec.isScheduled || occurrence == job.occurrences.end()) {
        return Milliseconds::max();
    }
    return std::chrono::duration_cast<Milliseconds>(job.objective - now) - job.remainingPathTime(occurrence->second);
}

void noteDemand(StepState &step, TimePoint now, ScarcityOrder &scarcity)
{
    if (step.isDemandNoted || step.spec().isService) {
        return;
    }
    step.isDemandNoted = true;
    const auto &job = *step.job;
    const auto waitingTasks = static_cast<WorkAmount>(step.tasks.size()) - step.doneCount;
    scarcity.noteDemand(job.queue.priority, workOfTask(step.spec()) * waitingTasks, now);
    const auto occurrence = job.occurrences.find(step.occurrence);
    if (step.spec().dependsOn.empty() && occurrence != job.occurrences.end()) {
        scarcity.noteJob(job.queue.name, remainingWork(job, occurrence->second));
    }
}

void addWaitingTasks(const StepState &step, const Resources &need, bool hasRoom, TimePoint now, ScarcityOrder::Reading &reading)
{
    if (isPastFinalDeadline(step, now)) {
        return;
    }
    reading.waiting += need;
    const bool isInTime = canBeInTime(step, now);
    if (isInTime) {
        reading.waitingRoom[step.job->queue.priority] += workOf(need, Milliseconds(1));
    }
    if (hasRoom) {
        return;
    }
    reading.waitingWithoutRoom += need;
    if (isInTime) {
        reading.mostUrgentWithoutRoom = std::min(reading.mostUrgentWithoutRoom, step.job->queue.priority);
    }
}

StepRank rankStep(const StepState &step, TimePoint now, const ScarcityOrder &scarcity)
{
    const auto &job = *step.job;
    const bool isLate = !canBeInTime(step, now);
    const bool isLost = isPastFinalDeadline(step, now);
    const auto priority = job.queue.priority;
    return { step.isRepair(),
             isLost,
             !isLate && !isLost && scarcity.isOwed(priority) && isRunningOut(step, now),
             priority,
             isLate && !scarcity.isScarce(),
             scarcity.isScarce() ? scarcityKey(step, now, scarcity) : 0,
             job.objectiveOf(step.occurrence),
             job.spec.id,
             step.occurrence,
             step.index };
}

} // namespace auburndoor
