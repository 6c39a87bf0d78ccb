#include "dispatch/JobState.h"

#include <algorithm>

namespace auburndoor {

namespace {

// A job that takes longer than this multiple of its objective no longer counts as late but as lost.
constexpr int finalDeadlineFactor = 3;
constexpr std::chrono::hours maxScheduleDistance { 24 * 366 };
// Bounds of what the due occurrences of one job take of the memory of an entry machine and of a row of the store.
constexpr std::size_t maxOpenOccurrences = 1000;
constexpr std::int64_t maxOpenTasks = 20000;
// Ends are seen up to 0.2 s late, 0.1 s on the average: a learned run time that is about as close to the estimate shows no error of
// the estimate.
constexpr Milliseconds maxLearningError { 150 };
constexpr double maxRelativeLearningError = 0.2;

} // namespace

std::string_view name(JobStage stage)
{
    switch (stage) {
    case JobStage::Recording:
        return "recording";
    case JobStage::Queued:
        return "queued";
    case JobStage::Running:
        return "running";
    case JobStage::Completed:
        return "completed";
    case JobStage::Failed:
        return "failed";
    case JobStage::Cancelled:
        break;
    }
    return "cancelled";
}

bool isEnded(JobStage stage)
{
    return stage == JobStage::Completed || stage == JobStage::Failed || stage == JobStage::Cancelled;
}

bool Task::hasRun(const RunPlace &place) const
{
    return std::find(runs.begin(), runs.end(), place) != runs.end();
}

void Task::setHostedRun(const HostedRun &run)
{
    eraseHostedRun({ run.worker, run.attempt });
    hostedRuns.push_back(run);
}

bool StepState::hasTasksToPlace() const
{
    return spec().isGang ? !isDone() && !hasRuns() : hasIdleTask();
}

TimePoint StepState::waitingSince() const
{
    auto since = readySince;
    if (!spec().isService) {
        return since;
    }
    for (const auto &task : tasks) {
        since = task.isIdle() ? std::max(since, task.idleSince) : since;
    }
    return since;
}

bool StepState::isRepair() const
{
    return spec().isService && job->hasBegun
           && std::any_of(tasks.begin(), tasks.end(), [](const Task &task) { return task.isIdle() && task.wasStarted(); });
}

void Task::eraseHostedRun(const RunPlace &place)
{
    std::erase_if(hostedRuns,
                  [&place](const HostedRun &run) { return run.worker == place.worker && run.attempt == place.attempt; });
}

const StepSpec &StepState::spec() const
{
    return job->spec.steps[static_cast<std::size_t>(index)];
}

void StepState::countDoneTasks()
{
    const bool hasDoneTask = std::any_of(tasks.begin(), tasks.end(), [](const Task &task) { return task.isDone; });
    if (hasDoneTask && job != nullptr && spec().isGang) {
        for (auto &task : tasks) {
            task.isDone = true;
        }
    }
    doneCount = static_cast<int>(std::count_if(tasks.begin(), tasks.end(), [](const Task &task) { return task.isDone; }));
}

bool StepState::hasIdleTask() const
{
    return std::any_of(tasks.begin(), tasks.end(), [](const Task &task) { return task.isIdle(); });
}

bool StepState::hasRuns() const
{
    return std::any_of(tasks.begin(), tasks.end(), [](const Task &task) { return !task.runs.empty(); });
}

bool OccurrenceState::isDone() const
{
    return std::all_of(steps.begin(), steps.end(), [](const StepState &step) { return step.isDone(); });
}

bool OccurrenceState::isReady(const StepState &step) const
{
    const auto &earlier = step.spec().dependsOn;
    return std::all_of(
        earlier.begin(), earlier.end(), [this](int index) { return steps[static_cast<std::size_t>(index)].isDone(); });
}

void JobState::addOccurrence(int number, TimePoint now)
{
    auto &occurrence = occurrences[number];
    occurrence.dueSince = now;
    for (std::size_t index = 0; index < spec.steps.size(); ++index) {
        StepState step;
        step.job = this;
        step.occurrence = number;
        step.index = static_cast<int>(index);
        step.tasks.resize(static_cast<std::size_t>(spec.steps[index].taskCount));
        step.readySince = now;
        occurrence.steps.push_back(std::move(step));
    }
}

void JobState::addNextOccurrence(TimePoint now)
{
    addOccurrence(nextOccurrence++, now);
}

bool JobState::hasOccurrence(int number) const
{
    return doneOccurrences.contains(number) || occurrences.contains(number);
}

void JobState::addMissingOccurrences(TimePoint now)
{
    for (int number = 0; number < nextOccurrence; ++number) {
        if (!hasOccurrence(number)) {
            addOccurrence(number, now);
        }
    }
}

bool JobState::hasRoomForOccurrence() const
{
    return occurrences.empty()
           || (occurrences.size() < maxOpenOccurrences
               && static_cast<std::int64_t>(occurrences.size() + 1) * spec.taskCount() <= maxOpenTasks);
}

bool JobState::isWide() const
{
    return spec.taskCount() * spec.occurrences > JobPart::maxTasks;
}

bool JobState::isServiceStored() const
{
    const auto found = services.find(queue.service);
    return found != services.end() && found->second;
}

StepState *JobState::step(int occurrence, int index)
{
    const auto found = occurrences.find(occurrence);
    if (found == occurrences.end() || index < 0 || index >= static_cast<int>(found->second.steps.size())) {
        return nullptr;
    }
    return &found->second.steps[static_cast<std::size_t>(index)];
}

Task *JobState::task(const TaskName &name)
{
    auto *found = step(name.occurrence, name.step);
    if (found == nullptr || name.index < 0 || name.index >= static_cast<int>(found->tasks.size())) {
        return nullptr;
    }
    return &found->tasks[static_cast<std::size_t>(name.index)];
}

bool JobState::isWorkDone() const
{
    return occurrences.empty() && static_cast<int>(doneOccurrences.size()) == spec.occurrences;
}

TimePoint JobState::dueAt(int occurrence, TimePoint now, std::chrono::milliseconds wallNow) const
{
    if (!spec.isScheduled) {
        return now;
    }
    // The wall time of a schedule may be out of the range of a time point.
    const auto untilDue = spec.firstDue + occurrence * spec.interval - wallNow;
    return now + std::clamp<std::chrono::milliseconds>(untilDue, -maxScheduleDistance, maxScheduleDistance);
}

TimePoint JobState::objectiveOf(int occurrence) const
{
    const auto found = spec.isScheduled ? occurrences.find(occurrence) : occurrences.end();
    return found == occurrences.end() ? objective : found->second.dueSince + (objective - receivedAt);
}

TimePoint JobState::finalDeadlineOf(int occurrence) const
{
    return objectiveOf(occurrence) + (objective - receivedAt) * (finalDeadlineFactor - 1);
}

Milliseconds JobState::longestChain(const std::function<Milliseconds(std::size_t step)> &timeOf) const
{
    std::vector<Milliseconds> ends(spec.steps.size());
    Milliseconds longest { 0 };
    for (std::size_t index = 0; index < spec.steps.size(); ++index) {
        Milliseconds begin { 0 };
        for (const int earlier : spec.steps[index].dependsOn) {
            begin = std::max(begin, ends[static_cast<std::size_t>(earlier)]);
        }
        ends[index] = begin + timeOf(index);
        longest = std::max(longest, ends[index]);
    }
    return longest;
}

Milliseconds JobState::criticalPathTime() const
{
    return longestChain([this](std::size_t step) { return spec.steps[step].estimate; });
}

Milliseconds JobState::expectedTime(std::size_t step) const
{
    const auto estimate = spec.steps[step].estimate;
    if (!isTimeLearned(step)) {
        return estimate;
    }
    const auto learned = imageTimes[step]->time;
    const auto difference = std::chrono::abs(learned - estimate);
    const bool isConfirmed = difference <= maxLearningError
                             || static_cast<double>(difference.count())
                                    <= static_cast<double>(estimate.count()) * maxRelativeLearningError;
    return isConfirmed ? estimate : learned;
}

bool JobState::isTimeLearned(std::size_t step) const
{
    return step < imageTimes.size() && imageTimes[step] && imageTimes[step]->isLearned;
}

Milliseconds JobState::remainingPathTime(const OccurrenceState &occurrence) const
{
    return longestChain(
        [this, &occurrence](std::size_t step) { return occurrence.steps[step].isDone() ? Milliseconds(0) : expectedTime(step); });
}

} // namespace auburndoor
