#include "fleet/WorkerManager.h"

#include "core/Failure.h"
#include "fleet/FollowedTasks.h"
#include "fleet/WorkerList.h"
#include "observability/Log.h"
#include "observability/Metrics.h"
#include "placement/WorkerHealth.h"
#include "platform/InstanceDirectory.h"
#include "worker/WorkerConnector.h"

#include <algorithm>
#include <mutex>
#include <set>
#include <thread>

namespace auburndoor {

namespace {

constexpr Milliseconds seizeRetryPeriod { 500 };
constexpr Milliseconds idleWait { 1000 };

/** A worker of an owned shard. */
struct ManagedWorker
{
    ListedWorker listed;
    ShardId shard;
    Epoch epoch = 0;
    bool isSeized = false;
    /** True while a thread sends it an order. */
    bool isBusy = false;
    TimePoint due;
    std::shared_ptr<WorkerConnection> connection;
    FollowedTasks followed;
};

/** What one visit to a worker is based on. */
struct Visit
{
    WorkerId worker;
    ShardId shard;
    Epoch epoch = 0;
    bool isSeized = false;
    std::shared_ptr<WorkerConnection> connection;
    std::vector<TaskId> unresolved;
    TimePoint asked;
};

} // namespace

class WorkerManager::Implementation
{
public:
    Implementation(const WorkerManagerOptions &options,
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
        , connector_(connector)
        , ledger_(ledger)
        , health_(health)
        , list_(options.shardsPerDomain)
    {
    }

    void start()
    {
        threads_.emplace_back([this] { followList(); });
        for (int index = 0; index < options_.threadCount; ++index) {
            threads_.emplace_back([this] { visitWorkers(); });
        }
    }

    void stop()
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

    void gainShard(const ShardId &shard, Epoch epoch)
    {
        const std::lock_guard lock(mutex_);
        if (const auto known = shards_.find(shard); known != shards_.end() && known->second >= epoch) {
            return;
        }
        shards_[shard] = epoch;
        for (const auto &worker : list_.workersOf(shard)) {
            addWorker(worker, shard, epoch);
        }
        condition_.notify_all();
    }

    void loseShard(const ShardId &shard)
    {
        {
            const std::lock_guard lock(mutex_);
            shards_.erase(shard);
            std::erase_if(workers_, [&](const auto &entry) { return entry.second.shard == shard; });
        }
        ledger_.removeShard(shard);
    }

    void loseShardIfAt(const ShardId &shard, Epoch epoch)
    {
        {
            const std::lock_guard lock(mutex_);
            const auto known = shards_.find(shard);
            if (known == shards_.end() || known->second > epoch) {
                return;
            }
        }
        metrics_.count("shards_fenced_total");
        Log::warning("shard-fenced", { { "shard", shard.text() }, { "epoch", std::to_string(epoch) } });
        loseShard(shard);
    }

    std::optional<OwnedWorker> find(const WorkerId &worker) const
    {
        const std::lock_guard lock(mutex_);
        const auto found = workers_.find(worker);
        if (found == workers_.end() || !found->second.isSeized) {
            return std::nullopt;
        }
        return OwnedWorker { worker, found->second.shard, found->second.epoch, found->second.connection };
    }

    void follow(const Reservation &reservation, FollowMode mode)
    {
        const std::lock_guard lock(mutex_);
        const auto found = workers_.find(reservation.worker);
        if (found == workers_.end() || found->second.epoch != reservation.epoch) {
            return;
        }
        auto &worker = found->second;
        worker.followed.add(TaskId(reservation.key), mode, clock_.now());
        worker.due = std::min(worker.due, worker.followed.nextQuestion(clock_.now(), options_.renewalPeriod));
        condition_.notify_all();
    }

    template<typename Read>
    auto readList(Read read) const
    {
        const std::lock_guard lock(mutex_);
        return read(list_);
    }

    int unseizedCount() const
    {
        const std::lock_guard lock(mutex_);
        return static_cast<int>(
            std::count_if(workers_.begin(), workers_.end(), [](const auto &entry) { return !entry.second.isSeized; }));
    }

    std::function<void(const std::map<FailureDomainId, RegionId> &)> domainListener_;

private:
    void addWorker(const ListedWorker &listed, const ShardId &shard, Epoch epoch)
    {
        auto &worker = workers_[listed.id];
        worker = {};
        worker.listed = listed;
        worker.shard = shard;
        worker.epoch = epoch;
        worker.due = clock_.now();
        worker.connection = connector_.connect(listed.id, listed.address);
    }

    void followList()
    {
        while (true) {
            pollList();
            reopenWorkers();
            std::unique_lock lock(mutex_);
            if (clock_.waitUntil(lock, condition_, clock_.now() + options_.listPeriod, [this] { return isStopping_; })) {
                return;
            }
        }
    }

    void pollList()
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
        bool isDomainSetChanged = false;
        {
            const std::lock_guard lock(mutex_);
            for (const auto &changed : listing->changed) {
                isDomainSetChanged = list_.update(changed) || isDomainSetChanged;
                applyChange(changed);
            }
        }
        condition_.notify_all();
        if (isDomainSetChanged && domainListener_) {
            domainListener_(readList([](const WorkerList &list) { return list.domains(); }));
        }
    }

    /** Brings the managed worker in line with the list; the caller holds the lock. */
    void applyChange(const ListedWorker &changed)
    {
        const auto shard = list_.shardOf(changed);
        const auto owned = shards_.find(shard);
        if (owned == shards_.end()) {
            return;
        }
        const auto known = workers_.find(changed.id);
        if (changed.state == ListedState::Gone) {
            workers_.erase(changed.id);
            ledger_.removeWorker(shard, changed.id);
            return;
        }
        if (known == workers_.end() || known->second.listed.address != changed.address) {
            addWorker(changed, shard, owned->second);
            return;
        }
        known->second.listed = changed;
        ledger_.setOpen(shard, changed.id, isOpen(changed));
    }

    bool isOpen(const ListedWorker &worker) const
    {
        return worker.state == ListedState::Live && !health_.isQuarantined(worker.id);
    }

    void reopenWorkers()
    {
        const std::lock_guard lock(mutex_);
        for (const auto &[id, worker] : workers_) {
            if (worker.isSeized) {
                ledger_.setOpen(worker.shard, id, isOpen(worker.listed));
            }
        }
    }

    void visitWorkers()
    {
        while (true) {
            std::unique_lock lock(mutex_);
            std::optional<Visit> visit;
            clock_.waitUntil(lock, condition_, nextDue(), [&] { return isStopping_ || visit || (visit = takeDue()); });
            if (isStopping_) {
                return;
            }
            if (!visit && !(visit = takeDue())) {
                continue;
            }
            lock.unlock();
            if (visit->isSeized) {
                renew(*visit);
            } else {
                seize(*visit);
            }
        }
    }

    TimePoint nextDue() const
    {
        auto due = clock_.now() + idleWait;
        for (const auto &[id, worker] : workers_) {
            if (!worker.isBusy) {
                due = std::min(due, worker.due);
            }
        }
        return due;
    }

    /** Chooses a worker whose time has come and marks it busy; the caller holds the lock. */
    std::optional<Visit> takeDue()
    {
        const auto now = clock_.now();
        for (auto &[id, worker] : workers_) {
            if (!worker.isBusy && worker.due <= now) {
                worker.isBusy = true;
                return Visit {
                    id, worker.shard, worker.epoch, worker.isSeized, worker.connection, worker.followed.unresolved(), now
                };
            }
        }
        return std::nullopt;
    }

    /** The managed worker if it is still the one of the visit; the caller holds the lock. */
    ManagedWorker *managedWorker(const Visit &visit)
    {
        const auto found = workers_.find(visit.worker);
        const auto isSame = found != workers_.end() && found->second.epoch == visit.epoch
                            && found->second.connection == visit.connection;
        return isSame ? &found->second : nullptr;
    }

    void finishVisit(const Visit &visit, Milliseconds pause)
    {
        const std::lock_guard lock(mutex_);
        if (auto *worker = managedWorker(visit)) {
            worker->isBusy = false;
            worker->due = worker->followed.nextQuestion(clock_.now(), pause);
        }
    }

    void seize(const Visit &visit)
    {
        Failure failure;
        const auto report = visit.connection->seize(visit.epoch, options_.self, clock_.now() + options_.orderTimeout, failure);
        if (!report) {
            metrics_.countRetry(failure);
            Log::failure("seize-failed", failure, { { "worker", visit.worker.text() }, { "shard", visit.shard.text() } });
            finishVisit(visit, seizeRetryPeriod);
            if (failure.reason == Reason::StaleEpoch) {
                loseShardIfAt(visit.shard, visit.epoch);
            }
            return;
        }
        enter(visit, *report);
        finishVisit(visit, options_.renewalPeriod);
    }

    /** Enters a seized worker into the ledger with the tasks that run on it. */
    void enter(const Visit &visit, const WorkerReport &report)
    {
        const std::lock_guard lock(mutex_);
        auto *worker = managedWorker(visit);
        if (worker == nullptr) {
            return;
        }
        std::vector<LedgerEntry> running;
        for (const auto &task : report.tasks) {
            if (task.state == TaskState::Running) {
                running.push_back({ task.id.text(), task.team, task.need, false });
                worker->followed.add(task.id, FollowMode::Running, visit.asked);
            }
        }
        const auto &listed = worker->listed;
        WorkerView view { listed.id, listed.service, listed.failureDomain, report.capacity, {}, 0, isOpen(listed) };
        ledger_.addWorker({ view, listed.address, visit.shard, visit.epoch }, running);
        worker->isSeized = true;
        metrics_.count("workers_seized_total");
        Log::info("worker-seized",
                  { { "worker", visit.worker.text() },
                    { "shard", visit.shard.text() },
                    { "epoch", std::to_string(visit.epoch) },
                    { "running", std::to_string(running.size()) } });
    }

    void renew(const Visit &visit)
    {
        cancelUnresolved(visit);
        Failure failure;
        const auto report = visit.connection->renew(visit.epoch, options_.taskLease, clock_.now() + options_.orderTimeout, failure);
        if (!report) {
            metrics_.countRetry(failure);
            finishVisit(visit, seizeRetryPeriod);
            if (failure.reason == Reason::StaleEpoch) {
                loseShardIfAt(visit.shard, visit.epoch);
            }
            return;
        }
        std::vector<TaskId> ended;
        {
            const std::lock_guard lock(mutex_);
            if (auto *worker = managedWorker(visit)) {
                ended = worker->followed.takeEnded(*report, visit.asked);
            }
        }
        for (const auto &task : ended) {
            ledger_.release(visit.shard, visit.worker, task.text());
        }
        finishVisit(visit, options_.renewalPeriod);
    }

    void cancelUnresolved(const Visit &visit)
    {
        for (const auto &task : visit.unresolved) {
            Failure failure;
            const auto state = visit.connection->cancel(task, visit.epoch, clock_.now() + options_.orderTimeout, failure);
            if (!state || state->state == TaskState::Running) {
                continue;
            }
            {
                const std::lock_guard lock(mutex_);
                if (auto *worker = managedWorker(visit)) {
                    worker->followed.remove(task);
                }
            }
            ledger_.release(visit.shard, visit.worker, task.text());
        }
    }

    const WorkerManagerOptions options_;
    Clock &clock_;
    Metrics &metrics_;
    InstanceDirectory &directory_;
    WorkerConnector &connector_;
    CapacityLedger &ledger_;
    WorkerHealth &health_;

    mutable std::mutex mutex_;
    std::condition_variable condition_;
    WorkerList list_;
    std::map<ShardId, Epoch> shards_;
    std::map<WorkerId, ManagedWorker> workers_;
    long long cursor_ = 0;
    bool isStopping_ = false;
    std::vector<std::thread> threads_;
};

WorkerManager::WorkerManager(const WorkerManagerOptions &options,
                             Clock &clock,
                             Metrics &metrics,
                             InstanceDirectory &directory,
                             WorkerConnector &connector,
                             CapacityLedger &ledger,
                             WorkerHealth &health)
    : implementation_(std::make_unique<Implementation>(options, clock, metrics, directory, connector, ledger, health))
{
}

WorkerManager::~WorkerManager()
{
    stop();
}

void WorkerManager::start()
{
    implementation_->start();
}

void WorkerManager::stop()
{
    implementation_->stop();
}

void WorkerManager::shardGained(const ShardId &shard, Epoch epoch)
{
    implementation_->gainShard(shard, epoch);
}

void WorkerManager::shardLost(const ShardId &shard)
{
    implementation_->loseShard(shard);
}

std::optional<OwnedWorker> WorkerManager::find(const WorkerId &worker) const
{
    return implementation_->find(worker);
}

void WorkerManager::followTask(const Reservation &reservation)
{
    implementation_->follow(reservation, FollowMode::Running);
}

void WorkerManager::resolveTask(const Reservation &reservation)
{
    implementation_->follow(reservation, FollowMode::Unresolved);
}

void WorkerManager::reportStaleEpoch(const ShardId &shard, Epoch epoch)
{
    implementation_->loseShardIfAt(shard, epoch);
}

std::map<FailureDomainId, RegionId> WorkerManager::domains() const
{
    return implementation_->readList([](const WorkerList &list) { return list.domains(); });
}

Resources WorkerManager::cellCapacity() const
{
    return implementation_->readList([](const WorkerList &list) { return list.capacity(); });
}

std::vector<ListedWorker> WorkerManager::pool(const ServiceId &service) const
{
    return implementation_->readList([&](const WorkerList &list) { return list.pool(service); });
}

int WorkerManager::unseizedCount() const
{
    return implementation_->unseizedCount();
}

void WorkerManager::setDomainListener(std::function<void(const std::map<FailureDomainId, RegionId> &)> listener)
{
    implementation_->domainListener_ = std::move(listener);
}

} // namespace auburndoor
