#pragma once

#include "jobs/GangCoordinator.h"
#include "jobs/JobExplanation.h"
#include "jobs/JobStore.h"
#include "jobs/PlaceFinder.h"
#include "jobs/TaskTracker.h"

#include <optional>
#include <vector>

namespace auburndoor {

class Metrics;

/** References that a JobRunner passes to each of its drivers; the objects must outlive the drivers. */
struct JobServices
{
    JobStore &store;
    OwnerGateway &gateway;
    GangCoordinator &gangs;
    PlaceFinder &places;
    TaskTracker &tracker;
    Clock &clock;
    Metrics &metrics;
};

/**
    Moves one job forward in rounds: a round queries the job's tasks, decides, saves the job's record and then starts tasks.

    The record is saved before a task is started, so that the next owner of the shard knows every worker on which a task may run.
    Not thread-safe; used by the thread of the JobRunner.
*/
class JobDriver
{
public:
    enum class Result {
        /** Call drive() again at due(). */
        Continue,
        Ended,
        /** Another writer has changed the record: load it and pass it to applyRecord(). */
        Reload,
        /** Another instance owns the shard. */
        ShardLost,
    };

    JobDriver(Job job, const JobServices &services);

    /**
        Runs one round, or repeats the last save while its outcome is unknown.

        @param shardRowVersion the version of the shard's row, which each save checks
    */
    Result drive(long long shardRowVersion);

    /** Replaces the job by a newer version of its record. Ignored while the outcome of a save is unknown. */
    void applyRecord(Job job);

    /** Releases the places held for a save of unknown outcome. The driver must not be used afterwards. */
    void releasePlaces();

    /** When the next round is due. */
    TimePoint due() const;

    const Job &job() const;

    JobExplanation explain() const;

private:
    struct Placement
    {
        std::size_t index = 0;
        HeldPlace place;
    };

    /** A save to commit, or to repeat while its outcome is unknown. */
    struct PendingSave
    {
        Transaction transaction;
        Job updatedJob;
        std::vector<Placement> placements;
    };

    void updateTaskStates();
    void queryRunningTasks(const std::vector<std::size_t> &tasksToStop);
    void queryOwner(const InstanceId &owner, const std::vector<std::size_t> &tasks);
    Job applyReports() const;
    std::vector<Placement> placeTasks(Job &updatedJob);
    std::vector<HeldPlace> findPlaces(const std::vector<std::size_t> &tasks);
    Result save(PendingSave pendingSave);
    void startTasks(const std::vector<Placement> &placements);
    void startTask(const Placement &placement);
    void release(const std::vector<Placement> &placements);
    void syncTrackedTasks();
    void delayPlacement(std::size_t index, Milliseconds runTime);
    void scheduleNextRound();

    Job job_;
    JobServices services_;
    /** For each task, what is known of its current assignment. */
    std::vector<TrackedTask> trackedTasks_;
    /** For each task, the earliest time at which it may be placed. */
    std::vector<TimePoint> earliestPlacements_;
    /** For each task, consecutive assignments that were refused or ran for less than stableRunTime. */
    std::vector<int> consecutiveShortRuns_;
    std::optional<PendingSave> pendingSave_;
    TimePoint due_;
    /** When the first change since the last save was seen. */
    std::optional<TimePoint> unsavedSince_;
    /** The earliest time of the next search for places after one that found too few. */
    TimePoint nextSearch_;
    int failedSearches_ = 0;
    int failedSaves_ = 0;
    /** Why the job waits for places or for a save; empty if it does not. */
    std::string waitReason_;
};

} // namespace auburndoor
