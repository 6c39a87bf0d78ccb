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

/** A place on a worker that the worker's owner reserves for a task of a job. */
struct Hold
{
    WorkerId worker;
    std::string holdId;
};

/** A request to another instance to hold places on the workers that it owns for the tasks of a job. */
struct HoldRequest
{
    JobId job;
    TeamId team;
    ServiceId service;
    /** The resources of one place. */
    Resources need;
    /** Number of places wanted; the owner holds as many as it can, possibly none. */
    int count = 1;
    /** How long the owner holds the places; a hold that is not used by then ends. */
    Milliseconds timeLimit { 5000 };
};

/** A configuration version that an instance announces to a peer. */
struct ConfigurationAnnouncement
{
    long long version = 0;
    std::string digest;
    /** The text of the configuration file; empty in an announcement that only names the version. */
    std::string text;
};

/**
    Interface to another instance, which is called over Thrift.

    All members may be called from any thread and block for the given timeout at most. If the peer could not be reached or refused
    the call, they fill the failure and return empty, false or a status that says so.
*/
class Peer
{
public:
    virtual ~Peer() = default;

    /** Sends the state of this instance to the peer. @return the state that the peer reports of itself */
    virtual std::optional<Member> heartbeat(const Member &self, Milliseconds timeout, Failure &failure) = 0;

    /** Forwards a request, which the peer runs on its own workers. @return the outcome; NotRun or Unknown if the exchange failed */
    virtual Outcome execute(const Request &request, Milliseconds timeout) = 0;

    /** Announces an accepted configuration to the peer. @return the version in force at the peer afterwards */
    virtual std::optional<long long> announce(const ConfigurationAnnouncement &announcement, Milliseconds timeout, Failure &failure)
        = 0;

    /** Reads the configuration in force at the peer, with its text. */
    virtual std::optional<ConfigurationAnnouncement> fetchConfiguration(Milliseconds timeout, Failure &failure) = 0;

    /** Asks the peer to hold places. A hold that is neither used nor released ends after its time limit. */
    virtual std::optional<std::vector<Hold>> hold(const HoldRequest &request, Milliseconds timeout, Failure &failure) = 0;

    /** Releases holds that are no longer needed. Unknown holds are ignored. */
    virtual bool release(const std::vector<Hold> &holds, Milliseconds timeout, Failure &failure) = 0;

    /** Starts a task on a held place; the hold turns into the use of the running task. The owner fills the epoch of the start. */
    virtual CallResult startHeld(const Hold &hold, const TaskStart &start, Milliseconds timeout, Failure &failure) = 0;

    /** Reads the state of a task on a worker that the peer owns. */
    virtual std::optional<TaskStatus> queryTask(const WorkerId &worker, const TaskId &task, Milliseconds timeout, Failure &failure)
        = 0;

    /** Cancels a task on a worker that the peer owns. */
    virtual std::optional<TaskStatus> cancelTask(const WorkerId &worker, const TaskId &task, Milliseconds timeout, Failure &failure)
        = 0;

    /** Tells the peer that a job in one of its shards has been recorded or changed. */
    virtual bool notifyJob(const ShardId &shard, const JobId &job, Milliseconds timeout, Failure &failure) = 0;

    /**
        Lists the tasks of a job that run on workers of the peer, as the workers last reported; empty if the call failed or the peer
        does not implement it.

        A task that is not listed may still be running; call queryTask() to find out.
    */
    virtual std::optional<std::vector<TaskId>> runningTasks(const JobId &, Milliseconds, Failure &)
    {
        return std::nullopt;
    }
};

} // namespace auburndoor
