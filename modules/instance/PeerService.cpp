#include "instance/PeerService.h"

#include "configuration/ConfigurationManager.h"
#include "fleet/OwnedWorkerService.h"
#include "membership/MembershipView.h"
#include "pipeline/Pipeline.h"
#include "pipeline/RequestContext.h"
#include "pipeline/ServiceQueues.h"

namespace auburndoor {

namespace {

/** Time limit of an order to a worker on behalf of a peer. */
constexpr Milliseconds orderTimeout { 2000 };

} // namespace

PeerService::PeerService(const PeerServiceParts &parts) : parts_(parts)
{
}

Member PeerService::heartbeat(const Member &sender)
{
    auto self = parts_.members->receive(sender);
    if (sender.configurationVersion > parts_.configuration->current()->version) {
        parts_.configuration->noticeVersion(sender.configurationVersion);
    }
    parts_.queues.onCapacityFreed();
    return self;
}

Outcome PeerService::execute(const Request &request)
{
    RequestContext context;
    context.configuration = parts_.configuration->current();
    context.request = request;
    const auto &services = context.configuration->declaration.services;
    const auto service = services.find(request.service);
    context.service = service == services.end() ? nullptr : &service->second;
    return parts_.pipeline.runAttempts(context);
}

long long PeerService::announce(const ConfigurationAnnouncement &announcement)
{
    return parts_.configuration->offer(announcement);
}

ConfigurationAnnouncement PeerService::fetchConfiguration()
{
    return parts_.configuration->announcement();
}

std::vector<Hold> PeerService::hold(const HoldRequest &request)
{
    return parts_.owner.hold(request);
}

void PeerService::release(const std::vector<Hold> &holds)
{
    parts_.owner.release(holds);
}

CallResult PeerService::startHeld(const Hold &hold, const TaskStart &start, Failure &failure)
{
    return parts_.owner.startHeld(hold, start, orderTimeout, failure);
}

std::optional<TaskStatus> PeerService::queryTask(const WorkerId &worker, const TaskId &task, Failure &failure)
{
    return parts_.owner.queryTask(worker, task, orderTimeout, failure);
}

std::optional<TaskStatus> PeerService::cancelTask(const WorkerId &worker, const TaskId &task, Failure &failure)
{
    return parts_.owner.cancelTask(worker, task, orderTimeout, failure);
}

void PeerService::notifyJob(const ShardId &shard, const JobId &job)
{
    parts_.notifyJob(shard, job);
}

std::vector<TaskId> PeerService::runningTasks(const JobId &job)
{
    return parts_.owner.runningTasks(job);
}

} // namespace auburndoor
