#pragma once

#include "dispatch/CommitQueue.h"
#include "dispatch/Fleet.h"
#include "dispatch/JobState.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace auburndoor {

/** The tables of the jobs in the store. */
struct JobTables
{
    /** Descriptions of jobs that have not ended. */
    static constexpr const char *jobs = "jobs";
    /** Progress of jobs, and how ended ones ended. */
    static constexpr const char *progress = "progress";
    /** Workers that may run something. */
    static constexpr const char *roster = "roster";
};

/** The answer to a submission. */
enum class SubmitOutcome {
    /** The job is stored, now or before. */
    Accepted,
    /** The job is not stored and never will be by this submission. */
    Refused,
    /** The job ended before the store said whether it is stored. */
    Unknown,
    /** This owner was deposed; the next one knows whether it is stored. */
    OwnerChanged,
};

/** How and when a job that is no longer worked on ended. */
struct EndedJob
{
    JobStage stage = JobStage::Completed;
    std::chrono::milliseconds endedAt { 0 };
    /** Its record is stored: clients may be told. */
    bool isStored = false;
};

/**
    All jobs of the cell, under one owner: acceptance, progress, ends.

    An end of a task takes effect in memory at once and is acknowledged to its worker after it is stored; a job's own end is shown
    after it is stored. All members are called from the loop's thread.
*/
class JobManager : public FleetListener
{
public:
    using SubmitCallback = std::function<void(SubmitOutcome)>;
    /** Called once with whether the cancel is stored; with false if there is no such job. */
    using CancelCallback = std::function<void(bool isKnown)>;

    /** What the job manager needs done elsewhere. */
    struct Hooks
    {
        /** Steps may be ready, or room free. */
        std::function<void()> workChanged;
        /** A higher fencing token is in use. */
        std::function<void()> deposed;
    };

    JobManager(Timers &timers, CommitQueue &commitQueue, std::int64_t fencingToken, Hooks hooks);

    /** The fleet whose runs the job manager decides about; set once before anything else is called. */
    void setFleet(Fleet &fleet);

    // Recovery, before the fleet reports anything.
    /** Takes a stored description; progress is empty if none is stored. */
    void restore(const std::string &id, const std::string &description, const std::string &progress);
    /** Takes the stored end of a job. */
    void restoreEnded(const std::string &id, const EndedJob &ended);

    /** Removes the stored description of a job whose end is stored. */
    void dropDescription(const std::string &id);

    // Clients.
    void submit(JobSpec spec, const QueueSpec &queue, SubmitCallback callback);
    /** Withdraws a submission that no transaction has carried. @return true if the job is now refused for good */
    bool withdraw(const std::string &id);
    void cancel(const std::string &id, CancelCallback callback);
    /** Hands all open submissions on to the next owner. */
    void abandonSubmissions();
    /** What clients are told; empty if there is no such job. */
    std::optional<JobStage> shownStage(const std::string &id) const;
    /** Accepted jobs of a queue of which no task has started. */
    int pendingCount(const std::string &queue) const;

    // Placement.
    std::map<std::string, std::unique_ptr<JobState>> &jobs();
    /** Follows a new version of the desired state. */
    void setDesiredState(const DesiredState &queues);
    /** Takes note of a start that is about to be sent. */
    void recordStart(StepState &step, int index, const RunPlace &place);
    /** The lowest number that no earlier attempt of the task can have. */
    std::int64_t nextAttempt(const Task &task) const;
    /** Stops one run of a live job, to be started again. */
    void stopRun(StepState &step, int index, const RunPlace &place, const std::string &reason);
    /** Makes occurrences that are due and drops ended jobs whose retention has passed. */
    void tick(Milliseconds retention, Milliseconds early);

    // FleetListener.
    std::optional<RunClaim> adoptRun(const std::string &worker, const RunningTask &running) override;
    void runConfirmed(const std::string &worker, const Run &run) override;
    void runEnded(const std::string &worker, const EndedTask &ended, std::function<void()> recorded) override;
    void runLost(const std::string &worker, const RunKey &key, RunLoss loss, CommandOutcome outcome) override;
    void checkpointSeen(const RunningTask &running) override;
    void fenced(const std::string &worker) override;
    void capacityChanged() override;
    void rosterChanged(const WorkerEntry &entry, bool isMember, std::function<void()> recorded) override;

private:
    JobState *find(const std::string &id);
    void begin(JobState &job);
    void save(const std::string &id, std::function<void()> durable, CommitQueue::Urgency urgency);
    void taskDone(JobState &job, StepState &step, int index);
    void stepDone(JobState &job, StepState &step);
    void taskFailed(JobState &job, StepState &step, Task &task, const RunPlace &place);
    void breakGang(StepState &step, const std::string &reason);
    void stopAllRuns(JobState &job, const std::string &reason);
    void end(JobState &job, JobStage stage);
    static RunClaim makeClaim(const StepState &step);

    friend class TaskPlacer;

    Timers &timers_;
    CommitQueue &commitQueue_;
    std::int64_t fencingToken_;
    Hooks hooks_;
    Fleet *fleet_ = nullptr;
    std::map<std::string, std::unique_ptr<JobState>> jobs_;
    std::map<std::string, EndedJob> ended_;
    std::map<std::string, std::vector<SubmitCallback>> submitters_;
};

} // namespace auburndoor
