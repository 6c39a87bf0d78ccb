#include "instance/InstanceParts.h"

#include "core/BuildVersion.h"

namespace auburndoor {

InstanceParts::InstanceParts(const Settings &settings, Clock &clock, Metrics &metrics)
    : settings_(settings)
    , clock_(clock)
    , metrics_(metrics)
    , platform_(InstanceOptions::platform(settings), clock, metrics)
    , unbatchedTable_(platform_)
    , objects_(platform_)
    , instanceDirectory_(platform_)
    , writeBudget_(settings.platform.writesPerSecond, clock)
    , table_(unbatchedTable_, writeBudget_, clock, metrics)
    , placer_(InstanceOptions::placer(settings))
    , ledger_(*placer_)
    , health_(clock)
    , connector_(clock, metrics)
    , workers_(InstanceOptions::workers(settings), clock, metrics, instanceDirectory_, connector_, ledger_, health_)
    , ownedWorkers_(clock, metrics, ledger_, workers_)
    , queues_(clock, [this] { return makeQueueOrder(); })
    , retryBudget_(clock, { static_cast<double>(settings.retry.budgetPercent) })
    , entryPipeline_(clock, metrics, retryBudget_, traces_)
    , ownerPipeline_(clock, metrics, retryBudget_, traces_)
    , jobStore_(table_, clock)
    , jobShardIndex_(table_, settings.ownership.shardsPerDomain)
{
}

InstanceParts::~InstanceParts()
{
    stopAll();
}

void InstanceParts::setDrainListener(std::function<void()> listener)
{
    drainListener_ = std::move(listener);
}

int InstanceParts::callersPort() const
{
    return callersPort_;
}

int InstanceParts::operatorsPort() const
{
    return operatorsPort_;
}

int InstanceParts::peersPort() const
{
    return peersPort_;
}

bool InstanceParts::start(Failure &failure)
{
    callerServer_ = std::make_unique<HttpServer>(InstanceOptions::callers(settings_));
    operatorServer_ = std::make_unique<HttpServer>(InstanceOptions::operators(settings_));
    const auto callersPort = callerServer_->bind(failure);
    const auto operatorsPort = callersPort ? operatorServer_->bind(failure) : std::nullopt;
    if (!operatorsPort || !bindPeerServer(failure)) {
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
              { { "version", std::string(buildVersion()) },
                { "callersPort", std::to_string(callersPort_) },
                { "operatorsPort", std::to_string(operatorsPort_) },
                { "peersPort", std::to_string(peersPort_) } });
    return true;
}

/** Binds the peer server before its handler is complete, because this instance's description of itself contains the port. */
bool InstanceParts::bindPeerServer(Failure &failure)
{
    peerService_ = std::make_unique<PeerService>(PeerServiceDependencies {
        clock_, members_, configuration_, ownerPipeline_, ownedWorkers_, queues_, [this](const ShardId &shard, const JobId &job) {
            jobs_->handleJobNotification(shard, job);
        } });
    peerServer_ = std::make_unique<PeerServer>(InstanceOptions::peers(settings_), *peerService_, clock_, metrics_);
    const auto port = peerServer_->bind(failure);
    peersPort_ = port.value_or(0);
    return port.has_value();
}

void InstanceParts::makeMembership()
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

void InstanceParts::makePipelines()
{
    taskAccess_ = std::make_unique<CellTaskAccess>(clock_, ownedWorkers_, *members_);
    resolver_ = std::make_unique<TaskResolver>(clock_, *taskAccess_);
    requestRecords_ = std::make_unique<RequestRecordStore>(clock_, metrics_, table_, objects_);
    poolReporter_ = std::make_unique<PoolReporter>(PoolReporterDependencies {
        clock_, metrics_, *configuration_, ledger_, workers_, ownedWorkers_, inventory_, shares_, queues_, *members_ });
    entryPipeline_.addPreparation(std::make_unique<AuthenticateFilter>());
    entryPipeline_.addPreparation(std::make_unique<ValidateFilter>(clock_));
    entryPipeline_.addPreparation(
        std::make_unique<AdmitFilter>(AdmitDependencies { clock_, ledger_, *members_, inventory_, estimator_, queues_ }));
    addAttemptFilters(entryPipeline_);
    addAttemptFilters(ownerPipeline_);
}

void InstanceParts::addAttemptFilters(Pipeline &pipeline)
{
    const auto onReserved = [this] { poolReporter_->requestReport(); };
    pipeline.addAttempt(std::make_unique<ReserveFilter>(ReserveDependencies {
        clock_, ledger_, *members_, estimator_, queues_, shares_, inventory_, settings_.placement.rule, onReserved }));
    pipeline.addAttempt(std::make_unique<IdempotencyFilter>(clock_, *requestRecords_, *resolver_, ledger_, estimator_));
    pipeline.addAttempt(std::make_unique<DispatchFilter>(DispatchDependencies {
        clock_, ledger_, workers_, health_, estimator_, *requestRecords_, *resolver_, *members_, settings_.tasks.lease }));
}

void InstanceParts::makeEndpoints()
{
    jobRunner_ = std::make_unique<JobRunner>(settings_.instance.id, jobStore_, *peerService_, *members_, clock_, metrics_);
    jobs_ = std::make_unique<JobService>(JobServiceDependencies {
        clock_, metrics_, *configuration_, workers_, *members_, jobStore_, jobShardIndex_, *jobRunner_, traces_ });
    housekeeping_ = std::make_unique<Housekeeping>(clock_, metrics_, *members_, *jobs_, *requestRecords_);
    callerEndpoint_ = std::make_unique<CallerEndpoint>(metrics_, *configuration_, entryPipeline_, *jobs_);
    callerEndpoint_->install(*callerServer_);
    operatorEndpoint_ = std::make_unique<OperatorEndpoint>(OperatorEndpointDependencies { clock_,
                                                                                          metrics_,
                                                                                          *configuration_,
                                                                                          *members_,
                                                                                          *ownership_,
                                                                                          ledger_,
                                                                                          *jobs_,
                                                                                          settings_.operators.tokenDigests,
                                                                                          [this] { return notReadyReason(); },
                                                                                          drainListener_ });
    operatorEndpoint_->install(*operatorServer_);
}

void InstanceParts::connectListeners()
{
    ledger_.setCapacityListener([this] {
        queues_.onCapacityFreed();
        poolReporter_->requestReport();
    });
    workers_.setDomainListener([this](const std::map<FailureDomainId, RegionId> &domains) {
        ownership_->setDomains(domains);
        jobShardIndex_.setDomains(domains);
    });
    ownership_->setInstancesListener([this](const std::vector<Member> &registered) {
        members_->addRegistered(registered);
        writeBudget_.setLiveInstances(static_cast<int>(members_->livePeers().size()) + 1);
        stopIfSuperseded();
    });
    configuration_->addListener([this](const std::shared_ptr<const VersionedDeclaration> &current) {
        shares_.setTeams(current->declaration.teams);
        members_->setConfigurationVersion(current->version);
        housekeeping_->setDeclaration(current);
        poolReporter_->requestReport();
        Log::info("configuration-in-force", { { "version", std::to_string(current->version) }, { "digest", current->digest } });
    });
}

void InstanceParts::startThreads()
{
    peerServer_->start();
    workers_.start();
    ownership_->start();
    heartbeats_->start();
    configuration_->start();
    poolReporter_->start();
    jobRunner_->start();
    housekeeping_->start();
    callerServer_->start();
    operatorServer_->start();
}

/** Requests the shutdown if a later process with the same id has superseded this one, since each of the two would answer messages
 * meant for the other. */
void InstanceParts::stopIfSuperseded()
{
    if (!ownership_->isSuperseded() || isSuperseded_.exchange(true)) {
        return;
    }
    Log::error(
        "instance-stopping-superseded",
        { { "message", "a process that started later has the same instance id; check the instance id in the settings of both" } });
    if (drainListener_) {
        drainListener_();
    }
}

std::string InstanceParts::notReadyReason() const
{
    if (isSuperseded_) {
        return "superseded by a later process with the same id";
    }
    if (isDraining_) {
        return "draining";
    }
    return configuration_->isReady() ? std::string() : "configuration not known";
}

std::unique_ptr<QueueOrder> InstanceParts::makeQueueOrder()
{
    if (settings_.queue.order == QueueOrdering::Fifo) {
        return std::make_unique<FifoOrder>();
    }
    return std::make_unique<FairDeadlineOrder>(shares_);
}

} // namespace auburndoor
