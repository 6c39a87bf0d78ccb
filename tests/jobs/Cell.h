#pragma once

#include "core/Failure.h"
#include "core/ManualClock.h"
#include "fakes/FakeTableService.h"
#include "fakes/FakeWorker.h"
#include "jobs/JobRunner.h"
#include "jobs/JobStore.h"
#include "observability/Metrics.h"
#include "peer/PeerDirectory.h"
#include "peer/PeerHandler.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

#include <functional>
#include <memory>

namespace auburndoor {

/** Thrown by a hook to simulate a crash of the owner in the middle of a round. */
struct Crash
{
};

/** An in-memory table that calls hooks around its commits. */
class HookedTable : public FakeTableService
{
public:
    CommitResult commit(const Transaction &transaction, TimePoint deadline, Failure &failure) override;

    std::function<void()> beforeEachCommit;
    /** Called once, around the next commit. */
    std::function<void()> beforeNextCommit;
    std::function<void()> afterNextCommit;
};

/** An instance that owns some workers, called directly or as a peer. Holds expire after their time limit. */
class FakeOwner : public PeerHandler, public Peer
{
public:
    FakeOwner(InstanceId id, Clock &clock);

    std::vector<Hold> hold(const HoldRequest &request) override;
    void release(const std::vector<Hold> &released) override;
    CallResult startHeld(const Hold &hold, const TaskStart &start, Failure &failure) override;
    std::optional<TaskStatus> queryTask(const WorkerId &worker, const TaskId &task, Failure &failure) override;
    std::optional<TaskStatus> cancelTask(const WorkerId &worker, const TaskId &task, Failure &failure) override;
    std::optional<std::vector<Hold>> hold(const HoldRequest &request, Milliseconds, Failure &) override;
    bool release(const std::vector<Hold> &released, Milliseconds, Failure &) override;
    CallResult startHeld(const Hold &hold, const TaskStart &start, Milliseconds, Failure &failure) override;
    std::optional<TaskStatus> queryTask(const WorkerId &worker, const TaskId &task, Milliseconds, Failure &failure) override;
    std::optional<TaskStatus> cancelTask(const WorkerId &worker, const TaskId &task, Milliseconds, Failure &failure) override;

    std::vector<TaskId> runningTasks(const JobId &job) override;
    std::optional<std::vector<TaskId>> runningTasks(const JobId &job, Milliseconds, Failure &) override;

    // Not used by jobs: a call fails the test.
    MAKE_MOCK1(heartbeat, Member(const Member &), override);
    MAKE_MOCK1(execute, Outcome(const Request &), override);
    MAKE_MOCK1(announce, long long(const ConfigurationAnnouncement &), override);
    MAKE_MOCK0(fetchConfiguration, ConfigurationAnnouncement(), override);
    MAKE_MOCK2(notifyJob, void(const ShardId &, const JobId &), override);
    MAKE_MOCK3(heartbeat, std::optional<Member>(const Member &, Milliseconds, Failure &), override);
    MAKE_MOCK2(execute, Outcome(const Request &, Milliseconds), override);
    MAKE_MOCK3(announce, std::optional<long long>(const ConfigurationAnnouncement &, Milliseconds, Failure &), override);
    MAKE_MOCK2(fetchConfiguration, std::optional<ConfigurationAnnouncement>(Milliseconds, Failure &), override);
    MAKE_MOCK4(notifyJob, bool(const ShardId &, const JobId &, Milliseconds, Failure &), override);

    /** The number of places that are held now. */
    std::size_t heldCount();

    /** Renews the lease of all tasks on all reachable workers. */
    void renewLeases();

    std::map<WorkerId, std::shared_ptr<FakeWorker>> workers;
    /** The number of queries from peers about one task, and about all running tasks of a job. */
    int taskQueryCount = 0;
    int jobQueryCount = 0;
    /** Called once, around the next start of a task. */
    std::function<void()> beforeNextStart;
    std::function<void()> afterNextStart;

private:
    struct FakeHold
    {
        WorkerId worker;
        Resources need;
        TimePoint end;
    };

    Resources calculateFree(const FakeWorker &worker, Resources used);

    const InstanceId id_;
    Clock &clock_;
    std::map<std::string, FakeHold> holds_;
    int holdCount_ = 0;
};

using OwnerMap = std::map<InstanceId, std::shared_ptr<FakeOwner>>;

/** The other owners as peers of one instance. */
class FakeDirectory : public PeerDirectory
{
public:
    FakeDirectory(InstanceId self, const OwnerMap &owners);

    std::shared_ptr<Peer> peer(const InstanceId &instance) override;
    std::vector<InstanceId> livePeers() override;

private:
    const InstanceId self_;
    const OwnerMap &owners_;
};

/** A cell of a few owners with two workers each, one shard of jobs, and a JobRunner for the instance that owns the shard. */
class Cell
{
public:
    explicit Cell(int ownerCount = 2, const Resources &capacity = { 2000, 2000, 0, 8, 64 });

    /** Destroys the current runner, if any, and makes another instance the owner of the shard. */
    void takeOver(const InstanceId &instance);

    /** Records a job and notifies the runner. */
    Job submit(JobKind kind, int taskCount, const std::string &body = R"({"runMs": 1000})", const std::string &id = "job");

    void cancel(const std::string &id = "job");

    /** Runs the runner, advances the clock and renews leases until the job has ended or the time is over. @return the job */
    Job runFor(Milliseconds time, const std::string &id = "job");

    /** The number of pairs of assignments of the same task that ran at the same time. */
    int overlapCount();

    /** The number of starts of all assignments of all tasks. */
    int startCount();

    /** The sum of the needs of all tasks that run now. */
    Resources use();

    /** The number of places that are held now. */
    std::size_t heldCount();

    Job load(const std::string &id = "job");

    ManualClock clock;
    HookedTable table;
    JobStore store { table, clock };
    Metrics metrics;
    OwnerMap owners;
    /** The directory of each runner so far; a runner that a test keeps after takeOver() still uses its own. */
    std::vector<std::unique_ptr<FakeDirectory>> directories;
    std::unique_ptr<JobRunner> runner;
    InstanceId runnerInstance;
    Failure failure;
    const ShardId shard { "domain/0" };

private:
    long long shardVersion_ = 0;
};

} // namespace auburndoor
