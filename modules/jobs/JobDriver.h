#pragma once

#include "jobs/GangCoordinator.h"
#include "jobs/JobExplanation.h"
#include "jobs/JobStore.h"
#include "jobs/PlaceFinder.h"
#include "jobs/TaskFollower.h"

#include <optional>
#include <vector>

namespace auburndoor {

class Metrics;

/** What the drivers of one runner share. */
struct JobServices
{
    JobStore &store;
    OwnerGateway &gateway;
    GangCoordinator &gangs;
    PlaceFinder &places;
    TaskFollower &follower;
    Clock &clock;
    Metrics &metrics;
};

/**
    Drives one job, one round at a time: asks after its tasks, decides, records the decisions, and only then starts tasks.

    The record is written before a start, so that a successor knows every worker on which a task may run. One thread.
*/
class JobDriver
{
public:
    enum class Result {
        /** Call again at due(). */
        Continue,
        Ended,
        /** The record has changed: load it and adopt() it. */
        Reload,
        /** Another instance owns the shard. */
        ShardLost,
    };

    JobDriver(Job job, const JobServices &services);

    /** One round. @param shardRowVersion that each write checks */
    Result drive(long long shardRowVersion);

    /** Goes on from another version of the record. */
    void adopt(Job job);

    /** Gives held places back; the driver is not used any more. */
    void abandon();

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

    /** A write whose outcome is not known yet. */
    struct PendingSave
    {
        Transaction transaction;
        Job next;
        std::vector<Placement> placements;
    };

    void followTasks();
    void followRunning(const std::vector<std::size_t> &cancels);
    void enterRunning(const InstanceId &owner, const std::vector<std::size_t> &tasks);
    Job enterReports() const;
    std::vector<Placement> placeTasks(Job &next);
    std::vector<HeldPlace> findPlaces(const std::vector<std::size_t> &tasks);
    Result save(PendingSave pending);
    void startTasks(const std::vector<Placement> &placements);
    void startTask(const Placement &placement);
    void release(const std::vector<Placement> &placements);
    void matchLive();
    void holdBack(std::size_t index, Milliseconds ranFor);
    void schedule();

    Job job_;
    JobServices services_;
    std::vector<FollowedTask> live_;
    /** For each task, when it may be placed again. */
    std::vector<TimePoint> notBefore_;
    /** For each task, assignments in a row that were refused or ended early. */
    std::vector<int> shortRuns_;
    std::optional<PendingSave> pending_;
    TimePoint due_;
    /** When the oldest outcome that is not recorded came in. */
    std::optional<TimePoint> unsavedSince_;
    /** When places are looked for again after too few were found. */
    TimePoint nextSearch_;
    int searches_ = 0;
    int saveAttempts_ = 0;
    /** Why it waits, if it does. */
    std::string waitReason_;
};

} // namespace auburndoor
