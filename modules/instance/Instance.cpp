#include "instance/Instance.h"

#include "admission/FairDeadlineOrder.h"
#include "admission/FifoOrder.h"
#include "admission/RetryBudget.h"
#include "admission/ShareAccounts.h"
#include "configuration/ConfigurationManager.h"
#include "core/Failure.h"
#include "fleet/CellTasks.h"
#include "fleet/OwnerService.h"
#include "fleet/PoolCensus.h"
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
#include "jobs/JobDirectory.h"
#include "jobs/JobRunner.h"
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
#include "pipeline/DescribeFilter.h"
#include "pipeline/DispatchFilter.h"
#include "pipeline/Pipeline.h"
#include "pipeline/RecordFilter.h"
#include "pipeline/RequestRecords.h"
#include "pipeline/RequestTraces.h"
#include "pipeline/ReserveFilter.h"
#include "pipeline/ServiceQueues.h"
#include "pipeline/TaskResolver.h"
#include "placement/RunTimeEstimator.h"
#include "placement/WorkerHealth.h"
#include "platform/GroupCommitter.h"
#include "platform/HttpInstanceDirectory.h"
#include "platform/HttpObjectStore.h"
#include "platform/HttpTableService.h"
#include "platform/PlatformConnection.h"
#include "platform/WriteBudget.h"
#include "settings/Settings.h"
#include "worker/HttpWorkerConnector.h"

#include <atomic>

namespace auburndoor {

namespace {

/** Time for the balancer to see the failed health check before the callers' listener closes. */
constexpr Milliseconds balancerNotice { 1000 };
/** The last part of the shutdown deadline, for the release of the shards after the callers have been answered. */
constexpr Milliseconds releaseTime { 5000 };

} // namespace

/** The modules of one instance, in the order in which they depend on each other. */
class Instance::Parts
{
public:
    Parts(const Settings &settings, Clock &clock, Metrics &metrics)
        : settings_(settings)
        , clock_(clock)
        , metrics_(metrics)
        , platform_(InstanceOptions::platform(settings), clock, metrics)
        , rawTable_(platform_)
        , objects_(platform_)
        , directory_(platform_)
        , budget_(settings.platform.writesPerSecond, clock)
        , table_(rawTable_, budget_, clock, metrics)
        , placer_(InstanceOptions::placer(settings))
        , ledger_(*placer_)
        , health_(clock)
        , connector_(clock, metrics)
        , workers_(InstanceOptions::workers(settings), clock, metrics, directory_, connector_, ledger_, health_)
        , owner_(clock, metrics, ledger_, workers_)
        , queues_(clock, [this] { return makeQueueOrder(); })
        , retryBudget_(clock, { static_cast<double>(settings.retry.budgetPercent) })
        , entryPipeline_(clock, metrics, retryBudget_, traces_)
        , ownerPipeline_(clock, metrics, retryBudget_, traces_)
        , jobStore_(table_, clock)
        , jobDirectory_(table_, settings.ownership.shardsPerDomain)
    {
    }

    ~Parts()
    {
        stopAll();
    }

    bool start(Failure &failure);
    bool shutDown();

    std::function<void()> drainListener_;
    int callersPort_ = 0;
    int operatorsPort_ = 0;
    int peersPort_ = 0;

private:
    bool bindPeers(Failure &failure);
    void makeMembership();
    void makePipelines();
    void addAttempts(Pipeline &pipeline);
    void makeEndpoints();
    void connectListeners();
    void startThreads();
    void stopIfSuperseded();
    void stopCallers(TimePoint deadline);
    void stopAll();
    std::string whyNotReady() const;
    std::unique_ptr<QueueOrder> makeQueueOrder();

    const Settings settings_;
    Clock &clock_;
    Metrics &metrics_;
    PlatformConnection platform_;
    HttpTableService rawTable_;
    HttpObjectStore objects_;
    HttpInstanceDirectory directory_;
    WriteBudget budget_;
    GroupCommitter table_;
    std::unique_ptr<Placer> placer_;
    CapacityLedger ledger_;
    WorkerHealth health_;
    RunTimeEstimator estimator_;
    PoolCensus census_;
    ShareAccounts shares_;
    HttpWorkerConnector connector_;
    WorkerManager workers_;
    OwnerService owner_;
    ServiceQueues queues_;
    RetryBudget retryBudget_;
    RequestTraces traces_;
    Pipeline entryPipeline_;
    Pipeline ownerPipeline_;
    JobStore jobStore_;
    JobDirectory jobDirectory_;

    // These need the port of the peers' listener and are made by start().
    std::unique_ptr<MembershipView> members_;
    std::unique_ptr<HeartbeatSender> heartbeats_;
    std::unique_ptr<OwnershipManager> ownership_;
    std::unique_ptr<PeerAnnouncer> announcer_;
    std::unique_ptr<ConfigurationManager> configuration_;
    std::unique_ptr<CellTasks> tasks_;
    std::unique_ptr<TaskResolver> resolver_;
    std::unique_ptr<RequestRecords> records_;
    std::unique_ptr<JobRunner> jobRunner_;
    std::unique_ptr<JobService> jobs_;
    std::unique_ptr<Housekeeping> housekeeping_;
    std::unique_ptr<ShardFanOut> shardFanOut_;
    std::unique_ptr<PoolReporter> reporter_;
    std::unique_ptr<PeerService> peerService_;
    std::unique_ptr<PeerServer> peerServer_;
    std::unique_ptr<CallerEndpoint> callerEndpoint_;
    std::unique_ptr<OperatorEndpoint> operatorEndpoint_;
    std::unique_ptr<HttpServer> callerServer_;
    std::unique_ptr<HttpServer> operatorServer_;
    std::atomic<bool> isDraining_ = false;
    std::atomic<bool> isSuperseded_ = false;
};

bool Instance::Parts::start(Failure &failure)
{
    callerServer_ = std::make_unique<HttpServer>(InstanceOptions::callers(settings_));
    operatorServer_ = std::make_unique<HttpServer>(InstanceOptions::operators(settings_));
    const auto callersPort = callerServer_->bind(failure);
    const auto operatorsPort = callersPort ? operatorServer_->bind(failure) : std::nullopt;
    if (!operatorsPort || !bindPeers(failure)) {
        return false;
    }
    callersPort_ = *callersPort;
    operatorsPort_ = *operatorsPort;
    makeMembership();
    makePipelines();
    makeEndpoints();
    connectListeners();
    startThreads();
    Log::info("instance-started",
              { { "callersPort", std::to_string(callersPort_) },
                { "operatorsPort", std::to_string(operatorsPort_) },
                { "peersPort", std::to_string(peersPort_) } });
    return true;
}

/** The server is bound before its handler is complete, because the port is part of what this instance tells of itself. */
bool Instance::Parts::bindPeers(Failure &failure)
{
    peerService_ = std::make_unique<PeerService>(PeerServiceParts {
        clock_, members_, configuration_, ownerPipeline_, owner_, queues_, [this](const ShardId &shard, const JobId &job) {
            jobs_->noticeJob(shard, job);
        } });
    peerServer_ = std::make_unique<PeerServer>(InstanceOptions::peers(settings_), *peerService_, clock_, metrics_);
    const auto port = peerServer_->bind(failure);
    peersPort_ = port.value_or(0);
    return port.has_value();
}

void Instance::Parts::makeMembership()
{
    const auto self = InstanceOptions::self(settings_, peersPort_, clock_);
    const auto makePeer = [this](const Member &member) -> std::shared_ptr<Peer> {
        ThriftPeerOptions options;
        options.peer = member.id;
        options.address = member.peerAddress;
        options.secret = settings_.peers.secret;
        return std::make_shared<ThriftPeer>(options, clock_, metrics_);
    };
    MembershipTiming timing;
    timing.suspicionTime = settings_.membership.suspicion;
    members_ = std::make_unique<MembershipView>(self, makePeer, timing, clock_, metrics_);
    HeartbeatTiming heartbeatTiming;
    heartbeatTiming.changePeriod = settings_.membership.summaryFloor;
    heartbeatTiming.restPeriod = InstanceOptions::restPeriod(settings_);
    heartbeats_ = std::make_unique<HeartbeatSender>(*members_, heartbeatTiming, clock_, metrics_);
    shardFanOut_ = std::make_unique<ShardFanOut>(workers_, jobRunner_, ownership_);
    const auto ownershipOptions = InstanceOptions::ownership(settings_, self);
    ownership_ = std::make_unique<OwnershipManager>(ownershipOptions, table_, *shardFanOut_, clock_, metrics_);
    announcer_ = std::make_unique<PeerAnnouncer>(clock_, *members_);
    ConfigurationOptions configurationOptions;
    configurationOptions.self = self.id;
    configurationOptions.poll = settings_.configuration.poll;
    configuration_ = std::make_unique<ConfigurationManager>(table_, objects_, clock_, metrics_, *announcer_, configurationOptions);
}

void Instance::Parts::makePipelines()
{
    tasks_ = std::make_unique<CellTasks>(clock_, owner_, *members_);
    resolver_ = std::make_unique<TaskResolver>(clock_, *tasks_);
    records_ = std::make_unique<RequestRecords>(clock_, metrics_, table_, objects_);
    reporter_ = std::make_unique<PoolReporter>(
        PoolReporterParts { clock_, metrics_, *configuration_, ledger_, workers_, owner_, census_, shares_, queues_, *members_ });
    entryPipeline_.addPreparation(std::make_unique<AuthenticateFilter>());
    entryPipeline_.addPreparation(std::make_unique<DescribeFilter>(clock_));
    entryPipeline_.addPreparation(
        std::make_unique<AdmitFilter>(AdmitParts { clock_, ledger_, *members_, census_, estimator_, queues_ }));
    addAttempts(entryPipeline_);
    addAttempts(ownerPipeline_);
}

void Instance::Parts::addAttempts(Pipeline &pipeline)
{
    const auto noteReserved = [this] { reporter_->noteChange(); };
    pipeline.addAttempt(std::make_unique<ReserveFilter>(ReserveParts {
        clock_, ledger_, *members_, estimator_, queues_, shares_, census_, settings_.placement.rule, noteReserved }));
    pipeline.addAttempt(std::make_unique<RecordFilter>(clock_, *records_, *resolver_, ledger_, estimator_));
    pipeline.addAttempt(std::make_unique<DispatchFilter>(
        DispatchParts { clock_, ledger_, workers_, health_, estimator_, *records_, *resolver_, *members_, settings_.tasks.lease }));
}

void Instance::Parts::makeEndpoints()
{
    jobRunner_ = std::make_unique<JobRunner>(settings_.instance.id, jobStore_, *peerService_, *members_, clock_, metrics_);
    jobs_ = std::make_unique<JobService>(
        JobServiceParts { clock_, metrics_, *configuration_, workers_, *members_, jobStore_, jobDirectory_, *jobRunner_, traces_ });
    housekeeping_ = std::make_unique<Housekeeping>(clock_, metrics_, *members_, *jobs_, *records_);
    callerEndpoint_ = std::make_unique<CallerEndpoint>(metrics_, *configuration_, entryPipeline_, *jobs_);
    callerEndpoint_->install(*callerServer_);
    operatorEndpoint_ = std::make_unique<OperatorEndpoint>(OperatorEndpointParts { clock_,
                                                                                   metrics_,
                                                                                   *configuration_,
                                                                                   *members_,
                                                                                   *ownership_,
                                                                                   ledger_,
                                                                                   *jobs_,
                                                                                   settings_.operators.tokenDigests,
                                                                                   [this] { return whyNotReady(); },
                                                                                   drainListener_ });
    operatorEndpoint_->install(*operatorServer_);
}

void Instance::Parts::connectListeners()
{
    ledger_.setRoomListener([this] {
        queues_.roomAppeared();
        reporter_->noteChange();
    });
    workers_.setDomainListener([this](const std::map<FailureDomainId, RegionId> &domains) {
        ownership_->setDomains(domains);
        jobDirectory_.setDomains(domains);
    });
    ownership_->setInstancesListener([this](const std::vector<Member> &registered) {
        members_->learn(registered);
        budget_.setLiveInstances(static_cast<int>(members_->livePeers().size()) + 1);
        stopIfSuperseded();
    });
    configuration_->addListener([this](const std::shared_ptr<const VersionedDeclaration> &current) {
        shares_.setTeams(current->declaration.teams);
        members_->setConfigurationVersion(current->version);
        housekeeping_->setDeclaration(current);
        reporter_->noteChange();
        Log::info("configuration-in-force", { { "version", std::to_string(current->version) }, { "digest", current->digest } });
    });
}

void Instance::Parts::startThreads()
{
    peerServer_->start();
    workers_.start();
    ownership_->start();
    heartbeats_->start();
    configuration_->start();
    reporter_->start();
    jobRunner_->start();
    housekeeping_->start();
    callerServer_->start();
    operatorServer_->start();
}

/** A later process with the same id has taken this one's place: two of them would answer for each other. */
void Instance::Parts::stopIfSuperseded()
{
    if (!ownership_->isSuperseded() || isSuperseded_.exchange(true)) {
        return;
    }
    Log::error("instance-stopping-superseded",
               { { "message", "a later process has this instance's id; check the settings of both" } });
    if (drainListener_) {
        drainListener_();
    }
}

std::string Instance::Parts::whyNotReady() const
{
    if (isSuperseded_) {
        return "superseded by a later process with the same id";
    }
    if (isDraining_) {
        return "draining";
    }
    return configuration_->isReady() ? std::string() : "configuration not known";
}

std::unique_ptr<QueueOrder> Instance::Parts::makeQueueOrder()
{
    if (settings_.queue.order == QueueOrdering::Fifo) {
        return std::make_unique<FifoOrder>();
    }
    return std::make_unique<FairDeadlineOrder>(shares_);
}

bool Instance::Parts::shutDown()
{
    const auto deadline = clock_.now() + settings_.shutdown.deadline;
    Log::info("shutdown-begun");
    isDraining_ = true;
    members_->setLeaving();
    ownership_->beginLeaving();
    callerServer_->setDraining();
    housekeeping_->stop();
    jobRunner_->stop();
    // The shards go first, so that the successors use their workers at once. While the table is down that waits, and this instance
    // goes on serving its callers and peers with them.
    bool isReleased = false;
    std::thread release([&] { isReleased = ownership_->stop(settings_.shutdown.deadline); });
    stopCallers(deadline - releaseTime);
    release.join();
    peerServer_->stop();
    const auto isInTime = clock_.now() <= deadline;
    stopAll();
    Log::info("shutdown-done", { { "released", isReleased ? "true" : "false" }, { "inTime", isInTime ? "true" : "false" } });
    return isInTime;
}

/** Waits for the balancer, then finishes the callers' requests. Those that still wait for room near the deadline are refused as not
 * run. */
void Instance::Parts::stopCallers(TimePoint deadline)
{
    std::mutex mutex;
    std::condition_variable condition;
    {
        std::unique_lock lock(mutex);
        clock_.waitUntil(lock, condition, clock_.now() + balancerNotice, [] { return false; });
    }
    bool isStopped = false;
    std::thread watch([&] {
        std::unique_lock lock(mutex);
        if (!clock_.waitUntil(lock, condition, deadline, [&] { return isStopped; })) {
            queues_.shutdown();
        }
    });
    callerServer_->stop();
    {
        const std::lock_guard lock(mutex);
        isStopped = true;
    }
    condition.notify_all();
    watch.join();
}

void Instance::Parts::stopAll()
{
    queues_.shutdown();
    if (callerServer_) {
        callerServer_->stop();
    }
    if (peerServer_) {
        peerServer_->stop();
    }
    if (housekeeping_) {
        housekeeping_->stop();
        jobRunner_->stop();
    }
    if (reporter_) {
        reporter_->stop();
    }
    if (configuration_) {
        configuration_->stop();
    }
    if (heartbeats_) {
        heartbeats_->stop();
    }
    if (operatorServer_) {
        operatorServer_->stop();
    }
    records_.reset();
    ownership_.reset();
    workers_.stop();
}

Instance::Instance(const Settings &settings, Clock &clock, Metrics &metrics)
    : parts_(std::make_unique<Parts>(settings, clock, metrics))
{
}

Instance::~Instance() = default;

void Instance::setDrainListener(std::function<void()> listener)
{
    parts_->drainListener_ = std::move(listener);
}

bool Instance::start(Failure &failure)
{
    return parts_->start(failure);
}

bool Instance::shutDown()
{
    return parts_->shutDown();
}

int Instance::callersPort() const
{
    return parts_->callersPort_;
}

int Instance::operatorsPort() const
{
    return parts_->operatorsPort_;
}

int Instance::peersPort() const
{
    return parts_->peersPort_;
}

} // namespace auburndoor
