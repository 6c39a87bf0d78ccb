#include "instance/PeerService.h"

#include "configuration/ConfigurationManager.h"
#include "fleet/OwnedWorkerService.h"
#include "membership/MembershipView.h"
#include "pipeline/Pipeline.h"
#include "pipeline/RequestContext.h"
#include "pipeline/ServiceQueues.h"

namespace auburndoor {

namespace {

/** Time limit of a call to a worker on behalf of a peer. */
constexpr Milliseconds workerCallTimeout { 2000 };

} // namespace

PeerService::PeerService(const PeerServiceDependencies &dependencies) : dependencies_(dependencies)
{
}

Member PeerService::heartbeat(const Member &sender)
{
    auto self = dependencies_.members->receive(sender);
    if (sender.configurationVersion > dependencies_.configuration->current()->version) {
        dependencies_.configuration->noticeVersion(sender.configurationVersion);
    }
    dependencies_.queues.onCapacityFreed();
    return self;
}

Outcome PeerService::execute(const Request &request)
{
    RequestContext context;
    context.configuration = dependencies_.configuration->current();
    context.request = request;
    const auto &services = context.configuration->declaration.services;
    const auto service = services.find(request.service);
    context.service = service == services.end() ? nullptr : &service->second;
    return dependencies_.pipeline.runAttempts(context);
}

long long PeerService::announce(const ConfigurationAnnouncement &announcement)
{
    return dependencies_.configuration->offer(announcement);
}

ConfigurationAnnouncement PeerService::fetchConfiguration()
{
    return dependencies_.configuration->announcement();
}

std::vector<Hold> PeerService::hold(const HoldRequest &request)
{
    return dependencies_.ownedWorkers.hold(request);
}

void PeerService::release(const std::vector<Hold> &holds)
{
    dependencies_.ownedWorkers.release(holds);
}

CallResult PeerService::startHeld(const Hold &hold, const TaskStart &start, Failure &failure)
{
    return dependencies_.ownedWorkers.startHeld(hold, start, workerCallTimeout, failure);
}

std::optional<TaskStatus> PeerService::queryTask(const WorkerId &worker, const TaskId &task, Failure &failure)
{
    return dependencies_.ownedWorkers.queryTask(worker, task, workerCallTimeout, failure);
}

std::optional<TaskStatus> PeerService::cancelTask(const WorkerId &worker, const TaskId &task, Failure &failure)
{
    return dependencies_.ownedWorkers.cancelTask(worker, task, workerCallTimeout, failure);
}

void PeerService::notifyJob(const ShardId &shard, const JobId &job)
{
    dependencies_.onJobNotification(shard, job);
}

std::vector<TaskId> PeerService::runningTasks(const JobId &job)
{
    return dependencies_.ownedWorkers.runningTasks(job);
}

} // namespace auburndoor
