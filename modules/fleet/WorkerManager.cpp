#include "fleet/WorkerManager.h"

#include "core/Failure.h"
#include "observability/Log.h"
#include "observability/Metrics.h"
#include "storage/InstanceDirectory.h"

namespace auburndoor {

namespace {

/** Longest wait after a failed claim or renewal. */
constexpr Milliseconds exchangeRetryPeriod { 500 };
constexpr Milliseconds longestIdleWait { 1000 };

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
    threads_.emplace_back([this] { runListPolling(); });
    for (int index = 0; index < options_.threadCount; ++index) {
        threads_.emplace_back([this] { runWorkerExchanges(); });
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

void WorkerManager::wakeThreads()
{
    {
        const std::lock_guard lock(mutex_);
        ++changeCount_;
    }
    condition_.notify_all();
}

void WorkerManager::shardGained(const ShardId &shard, Epoch epoch)
{
    roster_.gainShard(shard, epoch);
    wakeThreads();
}

void WorkerManager::shardLost(const ShardId &shard)
{
    roster_.loseShard(shard);
}

void WorkerManager::shardConfirmed(const ShardId &shard, Epoch epoch, TimePoint readTime)
{
    roster_.confirmShard(shard, epoch, readTime);
}

void WorkerManager::reportStaleEpoch(const ShardId &shard, Epoch epoch)
{
    if (roster_.loseShardUnlessNewer(shard, epoch)) {
        metrics_.count("shards_fenced_total");
        Log::warning("shard-fenced", { { "shard", shard.text() }, { "epoch", std::to_string(epoch) } });
    }
}

void WorkerManager::trackTask(const Reservation &reservation)
{
    roster_.track(reservation.worker, reservation.epoch, TaskId(reservation.key), TrackingMode::Running);
    wakeThreads();
}

void WorkerManager::resolveTask(const Reservation &reservation)
{
    roster_.track(reservation.worker, reservation.epoch, TaskId(reservation.key), TrackingMode::Unresolved);
    wakeThreads();
}

void WorkerManager::runListPolling()
{
    while (true) {
        pollList();
        roster_.updateOpenStates();
        std::unique_lock lock(mutex_);
        if (clock_.waitUntil(lock, condition_, clock_.now() + options_.listPollPeriod, [this] { return isStopping_; })) {
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
    wakeThreads();
    if (hasNewDomain && domainListener_) {
        domainListener_(roster_.domains());
    }
}

void WorkerManager::runWorkerExchanges()
{
    while (true) {
        long long seenChangeCount = 0;
        {
            const std::lock_guard lock(mutex_);
            if (isStopping_) {
                return;
            }
            seenChangeCount = changeCount_;
        }
        if (const auto exchange = roster_.takeDueExchange()) {
            exchange->isClaimed ? renew(*exchange) : claim(*exchange);
            continue;
        }
        const auto dueTime = roster_.nextDueTime(clock_.now() + longestIdleWait);
        std::unique_lock lock(mutex_);
        clock_.waitUntil(lock, condition_, dueTime, [&] { return isStopping_ || changeCount_ != seenChangeCount; });
    }
}

void WorkerManager::claim(const WorkerExchange &exchange)
{
    Failure failure;
    const auto report = exchange.connection->claim(exchange.epoch, options_.self, clock_.now() + options_.orderTimeout, failure);
    if (report && roster_.addClaimedWorker(exchange, *report)) {
        metrics_.count("workers_seized_total");
        Log::info("worker-seized",
                  { { "worker", exchange.worker.text() },
                    { "shard", exchange.shard.text() },
                    { "epoch", std::to_string(exchange.epoch) } });
    }
    if (!report) {
        metrics_.countRetry(failure);
        Log::failure("seize-failed", failure, { { "worker", exchange.worker.text() }, { "shard", exchange.shard.text() } });
    }
    roster_.finishExchange(exchange, report.has_value(), report ? options_.renewalPeriod : exchangeRetryPeriod);
    if (!report && failure.reason == FailureReason::StaleEpoch) {
        reportStaleEpoch(exchange.shard, exchange.epoch);
    }
}

void WorkerManager::renew(const WorkerExchange &exchange)
{
    cancelUnresolved(exchange);
    Failure failure;
    const auto deadline = clock_.now() + options_.orderTimeout;
    // A repeated claim reads the worker's tasks and extends no lease, so that the leases of a silent worker have a known end.
    const auto report = exchange.mustProbe ? exchange.connection->claim(exchange.epoch, options_.self, deadline, failure)
                                           : exchange.connection->renew(exchange.epoch, options_.taskLease, deadline, failure);
    if (report) {
        roster_.applyReport(exchange, *report);
    } else {
        metrics_.countRetry(failure);
    }
    // After an answered probe the leases are renewed at once.
    const auto pause = exchange.mustProbe ? Milliseconds(0) : options_.renewalPeriod;
    roster_.finishExchange(exchange, report.has_value(), report ? pause : exchangeRetryPeriod);
    if (!report && failure.reason == FailureReason::StaleEpoch) {
        reportStaleEpoch(exchange.shard, exchange.epoch);
    }
}

void WorkerManager::cancelUnresolved(const WorkerExchange &exchange)
{
    for (const auto &task : exchange.unresolved) {
        Failure failure;
        const auto state = exchange.connection->cancel(task, exchange.epoch, clock_.now() + options_.orderTimeout, failure);
        if (state && state->state != TaskState::Running) {
            roster_.releaseTask(exchange, task);
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
