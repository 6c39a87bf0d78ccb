#include "fleet/WorkerManager.h"

#include "core/Failure.h"
#include "observability/Log.h"
#include "observability/Metrics.h"
#include "storage/InstanceDirectory.h"

namespace auburndoor {

namespace {

constexpr Milliseconds seizeRetryPeriod { 500 };
constexpr Milliseconds idleWait { 1000 };

} // namespace

WorkerManager::WorkerManager(const WorkerManagerOptions &options,
                             Clock &clock,
                             Metrics &metrics,
                             InstanceDirectory &directory,
                             WorkerConnector &connector,
                             CapacityLedger &ledger,
                             WorkerHealth &health)
    : options_(options)
    , clock_(clock)
    , metrics_(metrics)
    , directory_(directory)
    , roster_({ options.shardsPerDomain, options.taskLease, options.renewalPeriod }, clock, connector, ledger, health)
{
}

WorkerManager::~WorkerManager()
{
    stop();
}

void WorkerManager::start()
{
    threads_.emplace_back([this] { followList(); });
    for (int index = 0; index < options_.threadCount; ++index) {
        threads_.emplace_back([this] { visitWorkers(); });
    }
}

void WorkerManager::stop()
{
    {
        const std::lock_guard lock(mutex_);
        isStopping_ = true;
    }
    condition_.notify_all();
    for (auto &thread : threads_) {
        thread.join();
    }
    threads_.clear();
}

void WorkerManager::wake()
{
    {
        const std::lock_guard lock(mutex_);
        ++changes_;
    }
    condition_.notify_all();
}

void WorkerManager::shardGained(const ShardId &shard, Epoch epoch)
{
    roster_.gainShard(shard, epoch);
    wake();
}

void WorkerManager::shardLost(const ShardId &shard)
{
    roster_.loseShard(shard);
}

void WorkerManager::reportStaleEpoch(const ShardId &shard, Epoch epoch)
{
    if (roster_.loseShardAt(shard, epoch)) {
        metrics_.count("shards_fenced_total");
        Log::warning("shard-fenced", { { "shard", shard.text() }, { "epoch", std::to_string(epoch) } });
    }
}

void WorkerManager::trackTask(const Reservation &reservation)
{
    roster_.follow(reservation.worker, reservation.epoch, TaskId(reservation.key), FollowMode::Running);
    wake();
}

void WorkerManager::resolveTask(const Reservation &reservation)
{
    roster_.follow(reservation.worker, reservation.epoch, TaskId(reservation.key), FollowMode::Unresolved);
    wake();
}

void WorkerManager::followList()
{
    while (true) {
        pollList();
        roster_.reviewHealth();
        std::unique_lock lock(mutex_);
        if (clock_.waitUntil(lock, condition_, clock_.now() + options_.listPeriod, [this] { return isStopping_; })) {
            return;
        }
    }
}

void WorkerManager::pollList()
{
    Failure failure;
    const auto listing = directory_.changesSince(cursor_, clock_.now() + options_.orderTimeout, failure);
    if (!listing) {
        metrics_.countRetry(failure);
        return;
    }
    cursor_ = listing->cursor;
    if (listing->changed.empty()) {
        return;
    }
    const auto hasNewDomain = roster_.update(listing->changed);
    wake();
    if (hasNewDomain && domainListener_) {
        domainListener_(roster_.domains());
    }
}

void WorkerManager::visitWorkers()
{
    while (true) {
        long long seenChanges = 0;
        {
            const std::lock_guard lock(mutex_);
            if (isStopping_) {
                return;
            }
            seenChanges = changes_;
        }
        if (const auto visit = roster_.takeDue()) {
            visit->isSeized ? renew(*visit) : claim(*visit);
            continue;
        }
        const auto due = roster_.nextDue(clock_.now() + idleWait);
        std::unique_lock lock(mutex_);
        clock_.waitUntil(lock, condition_, due, [&] { return isStopping_ || changes_ != seenChanges; });
    }
}

void WorkerManager::claim(const WorkerVisit &visit)
{
    Failure failure;
    const auto report = visit.connection->claim(visit.epoch, options_.self, clock_.now() + options_.orderTimeout, failure);
    if (report && roster_.enter(visit, *report)) {
        metrics_.count("workers_seized_total");
        Log::info("worker-seized",
                  { { "worker", visit.worker.text() }, { "shard", visit.shard.text() }, { "epoch", std::to_string(visit.epoch) } });
    }
    if (!report) {
        metrics_.countRetry(failure);
        Log::failure("seize-failed", failure, { { "worker", visit.worker.text() }, { "shard", visit.shard.text() } });
    }
    roster_.finish(visit, report ? options_.renewalPeriod : seizeRetryPeriod);
    if (!report && failure.reason == FailureReason::StaleEpoch) {
        reportStaleEpoch(visit.shard, visit.epoch);
    }
}

void WorkerManager::renew(const WorkerVisit &visit)
{
    cancelUnresolved(visit);
    Failure failure;
    const auto report = visit.connection->renew(visit.epoch, options_.taskLease, clock_.now() + options_.orderTimeout, failure);
    if (report) {
        roster_.takeReport(visit, *report);
    } else {
        metrics_.countRetry(failure);
    }
    roster_.finish(visit, report ? options_.renewalPeriod : seizeRetryPeriod);
    if (!report && failure.reason == FailureReason::StaleEpoch) {
        reportStaleEpoch(visit.shard, visit.epoch);
    }
}

void WorkerManager::cancelUnresolved(const WorkerVisit &visit)
{
    for (const auto &task : visit.unresolved) {
        Failure failure;
        const auto state = visit.connection->cancel(task, visit.epoch, clock_.now() + options_.orderTimeout, failure);
        if (state && state->state != TaskState::Running) {
            roster_.settle(visit, task);
        }
    }
}

std::optional<OwnedWorker> WorkerManager::find(const WorkerId &worker) const
{
    return roster_.find(worker);
}

const WorkerRoster &WorkerManager::roster() const
{
    return roster_;
}

void WorkerManager::setDomainListener(std::function<void(const std::map<FailureDomainId, RegionId> &)> listener)
{
    domainListener_ = std::move(listener);
}

} // namespace auburndoor
