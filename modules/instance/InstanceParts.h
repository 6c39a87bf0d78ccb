#pragma once

#include "admission/FairDeadlineOrder.h"
#include "admission/FifoOrder.h"
#include "admission/RetryBudget.h"
#include "admission/ShareAccounts.h"
#include "configuration/ConfigurationManager.h"
#include "core/Failure.h"
#include "fleet/CellTaskAccess.h"
#include "fleet/OwnedWorkerService.h"
#include "fleet/PoolInventory.h"
#include "fleet/WorkerManager.h"
#include "http/HttpServer.h"
#include "instance/CallerEndpoint.h"
#include "instance/Housekeeping.h"
#include "instance/InstanceOptions.h"
#include "instance/JobService.h"
#include "instance/OperatorEndpoint.h"
#include "instance/PeerAnnouncer.h"
#include "instance/PeerService.h"
#include "instance/PoolReporter.h"
#include "instance/ShardFanOut.h"
#include "jobs/JobRunner.h"
#include "jobs/JobShardIndex.h"
#include "jobs/JobStore.h"
#include "membership/HeartbeatSender.h"
#include "membership/MembershipView.h"
#include "observability/Log.h"
#include "observability/Metrics.h"
#include "ownership/OwnershipManager.h"
#include "peer/PeerServer.h"
#include "peer/ThriftPeer.h"
#include "pipeline/AdmitFilter.h"
#include "pipeline/AuthenticateFilter.h"
#include "pipeline/DispatchFilter.h"
#include "pipeline/IdempotencyFilter.h"
#include "pipeline/Pipeline.h"
#include "pipeline/RequestRecordStore.h"
#include "pipeline/RequestTraces.h"
#include "pipeline/ReserveFilter.h"
#include "pipeline/ServiceQueues.h"
#include "pipeline/TaskResolver.h"
#include "pipeline/ValidateFilter.h"
#include "placement/RunTimeEstimator.h"
#include "placement/WorkerHealth.h"
#include "settings/Settings.h"
#include "storage/GroupCommitter.h"
#include "storage/HttpInstanceDirectory.h"
#include "storage/HttpObjectStore.h"
#include "storage/HttpTableService.h"
#include "storage/PlatformConnection.h"
#include "storage/WriteBudget.h"
#include "worker/HttpWorkerConnector.h"

#include <atomic>

namespace auburndoor {

/**
    Owns the modules of one instance, declared in the order in which they depend on each other.

    Used only by Instance, from one thread. Separate from Instance so that users of Instance do not include the headers of all
    modules.
*/
class InstanceParts
{
public:
    InstanceParts(const Settings &settings, Clock &clock, Metrics &metrics);

    /** Stops all modules that still run. */
    ~InstanceParts();

    InstanceParts(const InstanceParts &) = delete;
    InstanceParts &operator=(const InstanceParts &) = delete;

    /** @see Instance::setDrainListener */
    void setDrainListener(std::function<void()> listener);

    /** @see Instance::start */
    bool start(Failure &failure);

    /** @see Instance::shutDown */
    bool shutDown();

    int callersPort() const;
    int operatorsPort() const;
    int peersPort() const;

private:
    bool bindPeerServer(Failure &failure);
    void makeMembership();
    void makePipelines();
    void addAttemptFilters(Pipeline &pipeline);
    void makeEndpoints();
    void connectListeners();
    void startThreads();
    void stopIfSuperseded();
    void stopCallerServer(TimePoint deadline);
    void stopAll();
    std::string notReadyReason() const;
    std::unique_ptr<QueueOrder> makeQueueOrder();

    std::function<void()> drainListener_;
    int callersPort_ = 0;
    int operatorsPort_ = 0;
    int peersPort_ = 0;
    const Settings settings_;
    Clock &clock_;
    Metrics &metrics_;
    PlatformConnection platform_;
    HttpTableService unbatchedTable_;
    HttpObjectStore objects_;
    HttpInstanceDirectory instanceDirectory_;
    WriteBudget writeBudget_;
    GroupCommitter table_;
    std::unique_ptr<Placer> placer_;
    CapacityLedger ledger_;
    WorkerHealth health_;
    RunTimeEstimator estimator_;
    PoolInventory inventory_;
    ShareAccounts shares_;
    HttpWorkerConnector connector_;
    WorkerManager workers_;
    OwnedWorkerService ownedWorkers_;
    ServiceQueues queues_;
    RetryBudget retryBudget_;
    RequestTraces traces_;
    Pipeline entryPipeline_;
    Pipeline ownerPipeline_;
    JobStore jobStore_;
    JobShardIndex jobShardIndex_;

    // Created by start(), because they need the port of the peers' listener.
    std::unique_ptr<MembershipView> members_;
    std::unique_ptr<HeartbeatSender> heartbeats_;
    std::unique_ptr<OwnershipManager> ownership_;
    std::unique_ptr<PeerAnnouncer> announcer_;
    std::unique_ptr<ConfigurationManager> configuration_;
    std::unique_ptr<CellTaskAccess> taskAccess_;
    std::unique_ptr<TaskResolver> resolver_;
    std::unique_ptr<RequestRecordStore> requestRecords_;
    std::unique_ptr<JobRunner> jobRunner_;
    std::unique_ptr<JobService> jobs_;
    std::unique_ptr<Housekeeping> housekeeping_;
    std::unique_ptr<ShardFanOut> shardFanOut_;
    std::unique_ptr<PoolReporter> poolReporter_;
    std::unique_ptr<PeerService> peerService_;
    std::unique_ptr<PeerServer> peerServer_;
    std::unique_ptr<CallerEndpoint> callerEndpoint_;
    std::unique_ptr<OperatorEndpoint> operatorEndpoint_;
    std::unique_ptr<HttpServer> callerServer_;
    std::unique_ptr<HttpServer> operatorServer_;
    std::atomic<bool> isDraining_ = false;
    std::atomic<bool> isSuperseded_ = false;
};

} // namespace auburndoor
