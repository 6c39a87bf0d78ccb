#pragma once

#include "core/Clock.h"
#include "core/Identifier.h"
#include "membership/Member.h"
#include "pipeline/Request.h"
#include "worker/WorkerConnection.h"

#include <optional>
#include <string>
#include <vector>

namespace auburndoor {

struct Failure;

/** One place that an owner holds for a task of a job. */
struct Hold
{
    WorkerId worker;
    std::string holdId;
};

/** A request to an owner for places in its workers, held for a limited time. */
struct HoldRequest
{
    JobId job;
    TeamId team;
    ServiceId service;
    Resources need;
    /** Places wanted; the owner gives as many as it can, possibly none. */
    int count = 1;
    Milliseconds timeLimit { 5000 };
};

/** The configuration that an instance tells a peer about. */
struct ConfigurationAnnouncement
{
    long long version = 0;
    std::string digest;
    /** The file's text; empty in an announcement that only names the version. */
    std::string text;
};

/**
    Another instance, over Thrift.

    All members may be called from any thread, block for the given time at most, and return empty with the failure filled when the
   peer could not be reached or refused.
*/
class Peer
{
public:
    virtual ~Peer() = default;

    /** Tells the peer about this instance. @return what the peer says of itself */
    virtual std::optional<Member> heartbeat(const Member &self, Milliseconds timeout, Failure &failure) = 0;

    /** Has the peer execute a request on its own workers. An outcome is always returned: NotRun or Unknown if the exchange failed.
     */
    virtual Outcome execute(const Request &request, Milliseconds timeout) = 0;

    /** Tells the peer of an accepted configuration. @return the version in force there afterwards */
    virtual std::optional<long long> announce(const ConfigurationAnnouncement &announcement, Milliseconds timeout, Failure &failure)
        = 0;

    /** The configuration in force at the peer, with its text. */
    virtual std::optional<ConfigurationAnnouncement> fetchConfiguration(Milliseconds timeout, Failure &failure) = 0;

    /** Asks for held places. A hold that is neither used nor released ends after its time limit. */
    virtual std::optional<std::vector<Hold>> hold(const HoldRequest &request, Milliseconds timeout, Failure &failure) = 0;

    /** Gives held places back. Unknown holds are ignored. */
    virtual bool release(const std::vector<Hold> &holds, Milliseconds timeout, Failure &failure) = 0;

    /** Starts a task on a held place; the hold becomes the task's own use. The owner fills the epoch. */
    virtual CallResult startHeld(const Hold &hold, const TaskStart &start, Milliseconds timeout, Failure &failure) = 0;

    /** The state of a task on a worker that the peer owns. */
    virtual std::optional<TaskStatus> queryTask(const WorkerId &worker, const TaskId &task, Milliseconds timeout, Failure &failure)
        = 0;

    /** Cancels a task on a worker that the peer owns. */
    virtual std::optional<TaskStatus> cancelTask(const WorkerId &worker, const TaskId &task, Milliseconds timeout, Failure &failure)
        = 0;

    /** Tells the peer that a job in one of its shards has been recorded or changed. */
    virtual bool notifyJob(const ShardId &shard, const JobId &job, Milliseconds timeout, Failure &failure) = 0;

    /**
        The tasks of a job that run on workers of the peer, as the workers last reported; empty if the peer does not tell.

        A task that is not among them may run nevertheless; only queryTask() tells. A peer need not implement this.
    */
    virtual std::optional<std::vector<TaskId>> runningTasks(const JobId &, Milliseconds, Failure &)
    {
        return std::nullopt;
    }
};

} // namespace auburndoor
