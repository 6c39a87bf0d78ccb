#pragma once

#include "core/Clock.h"
#include "dispatch/CrashLedger.h"
#include "dispatch/ImageTime.h"
#include "dispatch/JobPart.h"
#include "workload/DesiredState.h"
#include "workload/JobSpec.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace auburndoor {

/** How far a job has got. */
enum class JobStage {
    /** Its description is being stored; none of its tasks may start. */
    Recording,
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
};

std::string_view name(JobStage stage);
bool isEnded(JobStage stage);

/** The worker and attempt number of a run of a task; the fleet holds the Run itself. */
struct RunPlace
{
    std::string worker;
    std::int64_t attempt = 0;

    auto operator<=>(const RunPlace &other) const = default;
};

/** A run of a task that is over for its owner. */
struct FormerRun
{
    RunPlace place;
    /** The name of the RunOutcome or RunLoss; empty if there was no such run. */
    std::string_view end;
};

/** One task of a step. */
struct Task
{
    bool isDone = false;
    /** The attempts that failed, by number: a worker lists an end to each owner until it is acknowledged, and it counts once. */
    std::set<std::int64_t> failedAttempts;
    /** The highest attempt number of its runs so far. */
    std::int64_t lastAttempt = 0;
    /** The checkpoint to resume from; empty if there is none. */
    std::string checkpoint;
    /** Its current runs, with copies. */
    std::vector<RunPlace> runs;
    /** The run that was the last one to end or to be lost under this owner; for the log. */
    FormerRun lastRun;
    /** How often one of its runs was stopped for more urgent work. */
    int preemptionCount = 0;
    /** One of its runs was stopped since it was too slow to be in time where it ran. */
    bool wasMoved = false;
    /** When its last run ended or was lost; TimePoint() if none has. */
    TimePoint idleSince;
    /** The worker on which it last failed or was too slow; placement prefers others. */
    std::string failedOn;
    /** The crashes of workers under its runs. */
    CrashLedger crashes;
    /**
        Its runs on workers that do not answer and, once workers have crashed under it, all its runs without a known end. A new
       owner finds by them crashes that no owner has recorded.
    */
    std::vector<HostedRun> hostedRuns;

    bool isIdle() const
    {
        return !isDone && runs.empty();
    }
    /** True if a run of it was started before, by this owner or, as far as the store tells, by an earlier one. */
    bool wasStarted() const
    {
        return lastAttempt > 0;
    }
    bool hasRun(const RunPlace &place) const;
    void eraseHostedRun(const RunPlace &place);
    /** Adds a hosted run, or replaces what is known of it. */
    void setHostedRun(const HostedRun &run);
};

/** The answers of the advisory service about a step. The set of workers that a step may use never changes, but permits expire. */
struct StepAdvice
{
    struct WorkerPermit
    {
        std::string ticket;
        TimePoint expiresAt;
        std::int64_t workerIncarnation = 0;
    };
    /** The last permit for each allowed worker, by worker id; it may have expired. */
    std::map<std::string, WorkerPermit> allowed;
    /** The ids of the workers that the step may not use. */
    std::set<std::string> denied;
    /** The number of requests that have not been answered. */
    int pendingRequests = 0;
    /** A request was sent before, so that the allowed workers are known in part. */
    bool wasRequested = false;
    /** The number of tasks planned for each worker, by worker id; capacity is reserved for them. */
    std::map<std::string, int> plannedTasks;
    /** Without a pending request the plan is dropped at this time, when the first of its permits expires. */
    TimePoint planExpiresAt;
    /** After a request that failed, no other one is sent before this time. */
    TimePoint retryAt;
};

/** Room that is kept for a waiting gang until all its members fit: others of its priority cannot start there. */
struct GangHold
{
    /** The number of members for each worker, by worker id; empty without a hold. */
    std::map<std::string, int> members;
    TimePoint endsAt;
    /** The step gets no other hold before this time, so that it does not keep others out all the time. */
    TimePoint mayRepeatAt;
};

/** What earlier rounds of placement have found out about a step. */
struct StepSearch
{
    /** All workers were searched for room for its waiting tasks: only one that has more free than then can have room. */
    bool isExhausted = false;
    /** The ServiceCapacity::growth() up to which workers were searched. */
    std::uint64_t seenGrowth = 0;
    /** All workers are searched again at this time, as runs may have become preemptible meanwhile. */
    TimePoint repeatAt;
    /** A gang is not searched for before this time: it needs room on several workers at a time, and each search visits all of them.
     */
    TimePoint gangSearchAt;
    /** No workers to ask advice for are searched before this time, as the last search has found none. */
    TimePoint adviceSearchAt;
};

struct JobState;

/** One step of one occurrence of a job. */
struct StepState
{
    JobState *job = nullptr;
    int occurrence = 0;
    int index = 0;
    std::vector<Task> tasks;
    /** The number of tasks that are done. */
    int doneCount = 0;
    StepAdvice advice;
    GangHold hold;
    StepSearch search;
    /** Its work was noted in the order of its service, see ScarcityOrder::noteDemand(). */
    bool isDemandNoted = false;
    /** When the step was created, or when another step of its occurrence was last done. */
    TimePoint readySince;

    const StepSpec &spec() const;
    /** Sets doneCount by the tasks. A gang ends as a whole: one member that is done stands for all, in whatever part it is stored.
     */
    void countDoneTasks();
    bool isDone() const
    {
        return doneCount == static_cast<int>(tasks.size());
    }
    bool hasIdleTask() const;
    bool hasRuns() const;
    /** True if tasks of the step wait for a worker; those of a gang all do, or none. */
    bool hasTasksToPlace() const;
    /** When it became ready or, for a service, when the last one of its waiting tasks stopped running. */
    TimePoint waitingSince() const;
    /** True if it is a service that was at work before, so that its users miss each task that waits. */
    bool isRepair() const;
};

/** All steps of one occurrence of a job. */
struct OccurrenceState
{
    std::vector<StepState> steps;
    /** When it became due; for one of an earlier owner, the time of the takeover. */
    TimePoint dueSince;
    bool isDone() const;
    /** True if all steps that the step depends on are done. */
    bool isReady(const StepState &step) const;
};

/** One job with its progress. */
struct JobState
{
    JobSpec spec;
    QueueSpec queue;
    JobStage stage = JobStage::Recording;
    /** The stage to show to clients: an end only once it is stored. */
    JobStage shownStage = JobStage::Recording;
    /** Since 1970, on the clock of the process that accepted it. */
    std::chrono::milliseconds acceptedAt { 0 };
    std::chrono::milliseconds endedAt { 0 };
    /** When this owner received it, on this process's clock; for a job of an earlier owner, the time of the takeover. */
    TimePoint receivedAt;
    /** The time by which it has to be completed to be in time. */
    TimePoint objective;
    /** It was accepted by an earlier owner, so that it may have runs unknown to this owner. */
    bool isInherited = false;
    /**
        The services on whose workers its runs may be, with whether the store holds that: its queue may have moved from one service
        to another since they started.
    */
    std::map<std::string, bool> services;
    /** One of its tasks was known to run. */
    bool hasBegun = false;
    /** The occurrences that are due and not done, by number. */
    std::map<int, OccurrenceState> occurrences;
    /** The number of the next occurrence to be added in order. Later ones may be there: workers have shown that they were due. */
    int nextOccurrence = 0;
    std::set<int> doneOccurrences;
    /** Of a wide job: the parts that may be in the store. */
    std::set<JobPart> parts;
    /** Parts that have to be stored before the progress row, which an earlier release has written with all tasks, may be replaced.
     */
    std::set<JobPart> unstoredParts;
    /** What waits until unstoredParts is empty, for the row to be stored after that. */
    std::vector<std::function<void()>> waitingForParts;
    /** The learned run times of the steps' images, by step; null for a step without an image. May be empty. */
    std::vector<std::shared_ptr<const ImageTime>> imageTimes;

    /** Adds an occurrence that is not done; it need not be the next one. */
    void addOccurrence(int number, TimePoint now);
    /** Adds nextOccurrence. */
    void addNextOccurrence(TimePoint now);
    /** True if the occurrence is done, or due and not done. */
    bool hasOccurrence(int number) const;
    /** Adds the occurrences that are due but not done, and that no record names, since they had made no progress. */
    void addMissingOccurrences(TimePoint now);
    /** True if one more occurrence may be added: those that wait take memory, and one after the other gets its turn. */
    bool hasRoomForOccurrence() const;
    /** True if the progress of its tasks takes more than one row of the store; does not change during its life. */
    bool isWide() const;
    /** True if the store holds that the job may have runs on workers of its queue's present service. */
    bool isServiceStored() const;
    /** Null if there is no such step, or if its occurrence is not due or done. */
    StepState *step(int occurrence, int index);
    /** Null if there is no such task, or if its occurrence is not due or done. */
    Task *task(const TaskName &name);
    /** True if all its occurrences are done. */
    bool isWorkDone() const;
    /** When an occurrence is due, on the clock of now; at once for a job without a schedule. @param wallNow the wall clock's now */
    TimePoint dueAt(int occurrence, TimePoint now, std::chrono::milliseconds wallNow) const;
    /** The time by which an occurrence has to be done to be in time; its own time counts if the job has a schedule. */
    TimePoint objectiveOf(int occurrence) const;
    /** The time after which completing an occurrence has no value: a fixed multiple of the time allowed by its objective. */
    TimePoint finalDeadlineOf(int occurrence) const;
    /** The submitter's estimate of the run time of the longest chain of dependent steps. */
    Milliseconds criticalPathTime() const;
    /** How long a task of the step takes on a worker of usual speed: as learned, or by the estimate if little is learned. */
    Milliseconds expectedTime(std::size_t step) const;
    /** True if enough runs of the step's image have ended, so that its expected time does not rest on the estimate alone. */
    bool isTimeLearned(std::size_t step) const;
    /** The expected run time of the longest chain of those steps of an occurrence that are not done. */
    Milliseconds remainingPathTime(const OccurrenceState &occurrence) const;

private:
    /** The longest chain of dependent steps, by the time that each one takes. */
    Milliseconds longestChain(const std::function<Milliseconds(std::size_t step)> &timeOf) const;
};

} // namespace auburndoor
