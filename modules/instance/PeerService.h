#pragma once

#include "peer/PeerHandler.h"

#include <functional>
#include <memory>

namespace auburndoor {

class Clock;
class ConfigurationManager;
class MembershipView;
class OwnedWorkerService;
class Pipeline;
class ServiceQueues;

/** The objects that PeerService uses. */
struct PeerServiceDependencies
{
    Clock &clock;
    // Created after the peers' listener has been bound and before it serves.
    std::unique_ptr<MembershipView> &members;
    std::unique_ptr<ConfigurationManager> &configuration;
    const Pipeline &pipeline;
    OwnedWorkerService &ownedWorkers;
    ServiceQueues &queues;
    /** Called when a peer reports that a job of the shard has been recorded or changed. */
    std::function<void(const ShardId &, const JobId &)> onJobNotification;
};

/** Handles the messages of peers. Any thread. */
class PeerService : public PeerHandler
{
public:
    explicit PeerService(const PeerServiceDependencies &dependencies);

    Member heartbeat(const Member &sender) override;
    Outcome execute(const Request &request) override;
    long long announce(const ConfigurationAnnouncement &announcement) override;
    ConfigurationAnnouncement fetchConfiguration() override;
    std::vector<Hold> hold(const HoldRequest &request) override;
    void release(const std::vector<Hold> &holds) override;
    CallResult startHeld(const Hold &hold, const TaskStart &start, Failure &failure) override;
    std::optional<TaskStatus> queryTask(const WorkerId &worker, const TaskId &task, Failure &failure) override;
    std::optional<TaskStatus> cancelTask(const WorkerId &worker, const TaskId &task, Failure &failure) override;
    void notifyJob(const ShardId &shard, const JobId &job) override;
    std::vector<TaskId> runningTasks(const JobId &job) override;

private:
    PeerServiceDependencies dependencies_;
};

} // namespace auburndoor
