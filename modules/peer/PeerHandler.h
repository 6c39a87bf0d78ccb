#pragma once

#include "peer/Peer.h"

namespace auburndoor {

/** Executes the calls that peers make to this instance; see Peer. Called on the threads of PeerServer, several at a time. */
class PeerHandler
{
public:
    virtual ~PeerHandler() = default;

    virtual Member heartbeat(const Member &sender) = 0;
    virtual Outcome execute(const Request &request) = 0;
    virtual long long announce(const ConfigurationAnnouncement &announcement) = 0;
    virtual ConfigurationAnnouncement fetchConfiguration() = 0;
    virtual std::vector<Hold> hold(const HoldRequest &request) = 0;
    virtual void release(const std::vector<Hold> &holds) = 0;
    virtual CallResult startHeld(const Hold &hold, const TaskStart &start, Failure &failure) = 0;
    virtual std::optional<TaskStatus> queryTask(const WorkerId &worker, const TaskId &task, Failure &failure) = 0;
    virtual std::optional<TaskStatus> cancelTask(const WorkerId &worker, const TaskId &task, Failure &failure) = 0;
    virtual void notifyJob(const ShardId &shard, const JobId &job) = 0;
    virtual std::vector<TaskId> runningTasks(const JobId &job) = 0;
};

} // namespace auburndoor
