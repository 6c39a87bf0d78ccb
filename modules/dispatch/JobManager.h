#pragma once

#include "dispatch/CommitQueue.h"
#include "dispatch/Fleet.h"
#include "dispatch/InheritedTasks.h"
#include "dispatch/JobPart.h"
#include "dispatch/JobState.h"
#include "dispatch/TaskRecordCodec.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace auburndoor {

/** The tables of the jobs in the store. */
struct JobTables
{
    /** The descriptions of jobs that have not ended. */
    static constexpr const char *jobs = "jobs";
    /** The progress of jobs, and the stage and time of the end of ended ones. */
    static constexpr const char *progress = "progress";
    /** The progress of the tasks of wide jobs, by JobPart::key(). */
    static constexpr const char *parts = "parts";
    /** The workers that may have runs. */
    static constexpr const char *roster = "roster";
};

/** The answer to a submission. */
enum class SubmitOutcome {
    /** The job is stored, by this submission or an earlier one with its id. */
    Accepted,
    /** The job is not stored, and this submission will not store it later. */
    Refused,
    /** The store does not take the description of the job, which is too large; it is not stored. */
    TooLarge,
    /** The job was ended before the store confirmed that it is stored. */
    Unknown,
    /** This owner was deposed; the next one knows whether the job is stored. */
    OwnerChanged,
};

/** The stage and time at which a job ended. */
struct EndedJob
{
    JobStage stage = JobStage::Completed;
    std::chrono::milliseconds endedAt { 0 };
    /** The end is stored, so that clients may be told. */
    bool isStored = false;
    /** As JobSpec::account. */
    std::string account;
};

/**
    Manages all jobs of the cell under one owner: accepts them, tracks their progress and ends them.

    The end of a task takes effect in memory at once and is acknowledged to its worker after it is stored. The end of a job is shown
    to clients after it is stored. All members are called from the loop's thread.
*/
class JobManager : public FleetListener
{
public:
    /** The texts of the stored parts of a job. */
    using StoredParts = std::map<JobPart, std::string>;
    using SubmitCallback = std::function<void(SubmitOutcome)>;
    /** Called once: with true when the end of the job is stored, with false if there is no such job. */
    using CancelCallback = std::function<void(bool isKnown)>;

    /** Callbacks to the owner. */
    struct Hooks
    {
        /** Called when steps may have become ready or capacity free. */
        std::function<void()> workChanged;
        /** Called when a worker has seen a higher fencing token. */
        std::function<void()> deposed;
    };

    JobManager(Timers &timers, CommitQueue &commitQueue, std::int64_t fencingToken, Hooks hooks);

    /** Sets the fleet that runs the tasks; called once, before any other member. */
    void setFleet(Fleet &fleet);

    // Recovery, before the fleet reports anything.
    /** Adds a job from its stored texts; progress is empty if none is stored. A job with an unreadable description is skipped. */
    void restore(const std::string &id, const std::string &description, const std::string &progress, const StoredParts &parts);
    /** Adds an ended job from its stored end. */
    void restoreEnded(const std::string &id, const EndedJob &ended);

    /** Reads the stored description of a job that an earlier owner has ended: its runs may still be on their workers. */
    void restoreEndedDescription(const std::string &id, const std::string &description);
    /** Removes the stored description of a job whose end is stored. */
    void dropDescription(const std::string &id);
    /** Removes a stored part of a job that has ended, or of an occurrence that is done. */
    void dropPart(const std::string &id, const JobPart &part);

    // Clients.
    /** Stores a job, unless one with its id is known. @param callback called once, from within the call if the job is stored
     * already */
    void submit(JobSpec spec, const QueueSpec &queue, SubmitCallback callback);
    /** Withdraws a submission that no transaction was sent with. @return true if it is now refused for good */
    bool withdraw(const std::string &id);
    /** Ends a job as cancelled; the end of a job that has ended stays. */
    void cancel(const std::string &id, CancelCallback callback);
    /** Answers all submissions without an answer with OwnerChanged. */
    void abandonSubmissions();
    /** The stage to show to clients; empty if there is no such job. */
    std::optional<JobStage> shownStage(const std::string &id) const;
    /** The client account that a job belongs to, whatever its stage; empty if it has none or if there is no such job. */
    std::string accountOf(const std::string &id) const;
    /** Accepted jobs of a queue of which no task has started. */
    int pendingCount(const std::string &queue) const;

    // Placement.
    /** The jobs that have not ended, by id. */
    std::map<std::string, std::unique_ptr<JobState>> &jobs();
    /**
        The ids of the jobs that were added, removed or changed otherwise than by recordStart() since the last call; an id may be
        listed more than once.
    */
    std::vector<std::string> takeChangedJobs();
    /** Applies a new version of the desired state to the queues of the jobs. */
    void setDesiredState(const DesiredState &desiredState);
    /**
        Stores that the job may get runs on workers of its queue's present service, unless that is stored or being stored. The job's
        tasks may start there once JobState::isServiceStored().
    */
    void storeService(JobState &job);
    /** Records a start that is about to be sent. */
    void recordStart(StepState &step, int index, const RunPlace &place);
    /** The lowest number that no earlier attempt of the task can have. */
    std::int64_t nextAttempt(const Task &task) const;
    /** Stops a run so that its task starts again elsewhere; for a gang, stops all runs of the step. */
    void stopRun(StepState &step, int index, const RunPlace &place, const std::string &reason);
    /**
        Adds the occurrences that are due, and removes ended jobs after their retention.

        @param endedJobRetention how long clients may ask for an ended job
        @param earlyStart        how much earlier than due an occurrence may start; half of it is used
    */
    void tick(Milliseconds endedJobRetention, Milliseconds earlyStart);

    // FleetListener.
    std::optional<RunClaim> adoptRun(const std::string &worker, const RunningTask &running) override;
    std::optional<ReadoptedRun> readoptRun(const std::string &worker, const RunningTask &running) override;
    RunClaim claimOfUnwanted(const RunningTask &running) const override;
    void runConfirmed(const std::string &worker, const Run &run) override;
    void runEnded(const std::string &worker, const EndedTask &ended, std::function<void()> recorded) override;
    void runLost(const std::string &worker, const RunKey &key, RunLoss loss, CommandOutcome outcome) override;
    void workerSilent(const WorkerCrash &possibleCrash) override;
    void workerCrashed(const WorkerCrash &crash) override;
    void checkpointSeen(const RunningTask &running) override;
    void fenced(const std::string &worker) override;
    void capacityChanged() override;
    void rosterChanged(const WorkerEntry &entry, bool isMember, std::function<void()> recorded) override;
    void rosterEntryChanged(const WorkerEntry &entry) override;

private:
    /** Null if there is no such job, or if it has ended. */
    JobState *find(const std::string &id);
    /**
        The task that a worker reports; null if its job or its occurrence has ended, or if there is none.

        The occurrence is added if this owner has not done so: the report shows that an earlier owner had, by its own clock and with
        its own room, and what it tells may be stored nowhere else.
    */
    Task *findReportedTask(JobState *job, const TaskName &name);
    /** Counts a run that a worker reports among those of its task. @return what the run claims of its worker */
    RunClaim addReportedRun(JobState &job, Task &task, const std::string &worker, const RunningTask &running);
    /** Sets the objective of a job, and adds the only occurrence of one without a schedule. */
    void initialize(JobState &job);
    /** Has the stored parts of a wide job applied, and stores anew what an earlier release has stored as one row. */
    void restoreParts(JobState &job, const StoredParts &parts);
    /** Writes the progress of a task: the row of its part, or of its job unless that is wide. @param durable as saveProgress() */
    void saveTask(JobState &job, const TaskName &task, std::function<void()> durable, CommitQueue::Urgency urgency);
    /** Writes all progress that the end of a run changes. @param recorded called once what the end counts for is stored */
    void saveEnd(JobState &job, const StepState &step, const EndedTask &ended, std::function<void()> recorded);
    /** Writes the row of a part of a job that has not ended. */
    void savePart(JobState &job, const JobPart &part, std::function<void()> durable, CommitQueue::Urgency urgency);
    /** Writes the progress row of a job, or its end. @param durable called once the row is stored */
    void saveProgress(const std::string &id, std::function<void()> durable, CommitQueue::Urgency urgency);
    /** As saveProgress(), also while parts of the job have to be stored first. */
    void putProgressRow(const std::string &id, std::function<void()> durable, CommitQueue::Urgency urgency);
    /**
        Removes parts of a wide job from the job and, once the progress row that takes their place is stored, from the store.

        @param isClosed true for the parts to remove
        @return         to be called once that row is stored; calls what waited for the parts
    */
    std::function<void()> closeParts(JobState &job, const std::function<bool(const JobPart &)> &isClosed);
    /** The progress row of a job that has ended. */
    static std::string endRecord(const EndedJob &ended);
    /** The first text that fits into a row of the store, of those with less and less detail; the last one if none fits. */
    std::string fitRow(const std::string &id, const std::function<std::string(RecordDetail)> &text) const;
    /** Notes that a task of the job runs or has run; a job that is still being recorded is left as it is. */
    void noteBegun(JobState &job);
    void onTaskDone(JobState &job, StepState &step, int index);
    void onStepDone(JobState &job, StepState &step);
    void onTaskFailed(JobState &job, StepState &step, Task &task, const RunPlace &place);
    void stopStepRuns(StepState &step, const std::string &reason);
    /** Stops all members of one run of a gang. */
    void stopAttemptRuns(StepState &step, std::int64_t attempt, const std::string &reason);
    /** Stops the runs of all steps that are not done. */
    void stopJobRuns(JobState &job, const std::string &reason);
    /** Ends a job with this stage, and stores the end. The reference to the job is invalid afterwards. */
    void endJob(JobState &job, JobStage stage);
    /** What each run of the step claims of its worker. */
    static RunClaim makeClaim(const StepState &step);
    /** What a run of the task claims of this worker. */
    RunClaim makeClaim(const StepState &step, const Task &task, const std::string &worker) const;
    /** True if the task may only start on a worker without runs of other jobs; it waits for one for a limited time. */
    bool isWaitingForIsolation(const Task &task) const;
    /** Stores a run of a suspected task that is known to run, for the case that its worker crashes while the owner is replaced. */
    void recordHostedRun(JobState &job, Task &task, const std::string &worker, const Run &run);
    /** Records a crash under a run of the task, unless it is recorded already. */
    void recordCrash(JobState &job, Task &task, const RunKey &key, const HostedRun &crash);
    /** Tells the fleet which runs an earlier owner has recorded for the case that their workers have crashed. */
    void restoreHostedRuns(JobState &job);
    /** Drops the suspicion against tasks that have run for long enough since, and forgets jobs without suspected tasks. */
    void clearSoundTasks();
    /** Drops the suspicion against a task that has run for long enough since. @return true if it is still suspected */
    bool clearIfSound(StepState &step, int index);

    friend class TaskPlacer;

    Timers &timers_;
    CommitQueue &commitQueue_;
    std::int64_t fencingToken_;
    Hooks hooks_;
    Fleet *fleet_ = nullptr;
    std::map<std::string, std::unique_ptr<JobState>> jobs_;
    std::map<std::string, EndedJob> ended_;
    /** The inherited jobs of accounts that have ended, while workers may have runs of them that are not known; by job. */
    std::map<std::string, InheritedTasks> endedInheritedTasks_;
    std::map<std::string, std::vector<SubmitCallback>> submitCallbacks_;
    std::vector<std::string> changedJobs_;
    /** The jobs with tasks under which workers have crashed. */
    std::set<std::string> suspectedJobs_;
};

} // namespace auburndoor
