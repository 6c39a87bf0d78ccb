#pragma once

#include "core/Clock.h"
#include "workload/DesiredState.h"
#include "workload/JobSpec.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace auburndoor {

enum class JobStage {
    /** Its record is being written; nothing of it may start. */
    Recording,
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
};

std::string_view name(JobStage stage);
bool isEnded(JobStage stage);

/** Where a start of a task occupies a worker; the fleet holds the run itself. */
struct RunPlace
{
    std::string worker;
    std::int64_t attempt = 0;

    auto operator<=>(const RunPlace &other) const = default;
};

/** One task of a step. */
struct Task
{
    bool isDone = false;
    /** The attempts that failed. A worker lists an end again to each owner until it is acknowledged: a number counts once. */
    std::set<std::int64_t> failedAttempts;
    std::int64_t lastAttempt = 0;
    std::string checkpoint;
    std::vector<RunPlace> runs;
    /** The worker on which it last failed; others are preferred. */
    std::string failedOn;

    bool isIdle() const
    {
        return !isDone && runs.empty();
    }
    bool hasRun(const RunPlace &place) const;
};

/** What the advisory service has said of a step. The set of allowed workers of a step never changes; permits expire. */
struct StepAdvice
{
    struct WorkerPermit
    {
        std::string ticket;
        TimePoint expiresAt;
        std::int64_t workerIncarnation = 0;
    };
    std::map<std::string, WorkerPermit> allowed;
    std::set<std::string> denied;
    bool isRequestPending = false;
    /** It has been asked before: the allowed workers are known in part. */
    bool wasRequested = false;
    /** The tasks that wait for an answer, by the worker on which they would start: their room is held. */
    std::map<std::string, int> plannedTasks;
    TimePoint retryAt;
};

struct JobState;

/** One step of one occurrence of a job. */
struct StepState
{
    JobState *job = nullptr;
    int occurrence = 0;
    int index = 0;
    std::vector<Task> tasks;
    int doneCount = 0;
    StepAdvice advice;
    TimePoint readySince;

    const StepSpec &spec() const;
    bool isDone() const
    {
        return doneCount == static_cast<int>(tasks.size());
    }
    bool hasIdleTask() const;
    bool hasRuns() const;
};

/** All steps of one occurrence. */
struct OccurrenceState
{
    std::vector<StepState> steps;
    bool isDone() const;
    /** True if all tasks of the steps that it depends on are done. */
    bool isReady(const StepState &step) const;
};

/** One job and how far it has got. */
struct JobState
{
    JobSpec spec;
    QueueSpec queue;
    JobStage stage = JobStage::Recording;
    /** What clients are shown: an end only once it is stored. */
    JobStage shownStage = JobStage::Recording;
    /** Since 1970, on the clock of the process that accepted it. */
    std::chrono::milliseconds acceptedAt { 0 };
    std::chrono::milliseconds endedAt { 0 };
    /** On this process's clock; for a job of an earlier owner, the time of the takeover. */
    TimePoint receivedAt;
    /** By when it is to be completed to be in time. */
    TimePoint objective;
    /** Accepted by an earlier owner: runs that nobody here knows of may exist. */
    bool isInherited = false;
    bool hasBegun = false;
    /** The occurrences that are due, by number; those that are done are removed again. */
    std::map<int, OccurrenceState> occurrences;
    /** Occurrences below this number were materialized. */
    int nextOccurrence = 0;
    std::set<int> doneOccurrences;

    void addOccurrence(int number, TimePoint now);
    StepState *step(int occurrence, int index);
    Task *task(const TaskName &name);
    bool isWorkDone() const;
    TimePoint dueAt(int occurrence, TimePoint now, std::chrono::milliseconds wallNow) const;
    /** The longest chain of estimated run times over its steps. */
    Milliseconds criticalPathTime() const;
};

} // namespace auburndoor
