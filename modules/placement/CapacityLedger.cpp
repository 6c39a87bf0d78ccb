#include "placement/CapacityLedger.h"

#include "placement/LedgerShard.h"
#include "placement/WorkerFit.h"

#include <map>
#include <mutex>
#include <shared_mutex>

namespace auburndoor {

class CapacityLedger::Implementation
{
public:
    explicit Implementation(const Placer &placer) : placer_(placer)
    {
    }

    void addWorker(const LedgerWorker &worker, const std::vector<LedgerEntry> &running);
    std::optional<Reservation> reserve(const PlacementNeed &need, const LedgerEntry &entry);
    LedgerPool::Places countPlaces(const PlacementNeed &need) const;
    void notifyCapacityFreed() const;

    /** Runs the action on a shard, with the shard's lock held. @return false if the shard is not known */
    template<typename Action>
    bool runOnShard(const ShardId &id, const Action &action)
    {
        const std::shared_lock lock(mutex_);
        const auto found = shards_.find(id);
        if (found == shards_.end()) {
            return false;
        }
        const std::lock_guard shardLock(found->second->mutex);
        action(*found->second);
        return true;
    }

    /** Runs the action on each shard in turn, with that shard's lock held. */
    template<typename Action>
    void runOnEachShard(const Action &action) const
    {
        const std::shared_lock lock(mutex_);
        for (const auto &[id, shard] : shards_) {
            const std::lock_guard shardLock(shard->mutex);
            action(id, *shard);
        }
    }

    void removeShard(const ShardId &id)
    {
        const std::unique_lock lock(mutex_);
        shards_.erase(id);
    }

    void setCapacityListener(std::function<void()> listener)
    {
        const std::lock_guard lock(listenerMutex_);
        listener_ = std::move(listener);
    }

private:
    /** The worker that the placer chose in each shard. Both vectors have the same order. */
    struct Candidates
    {
        std::vector<WorkerView> views;
        std::vector<std::pair<ShardId, LedgerShard *>> shards;
    };

    Candidates findCandidates(const PlacementNeed &need) const;
    std::optional<Reservation> reserveInShard(const ShardId &id,
                                              LedgerShard &shard,
                                              const PlacementNeed &need,
                                              const LedgerEntry &entry);

    const Placer &placer_;
    /** Guards shards_; locked before the mutex of a shard. */
    mutable std::shared_mutex mutex_;
    std::map<ShardId, std::unique_ptr<LedgerShard>> shards_;
    mutable std::mutex listenerMutex_;
    std::function<void()> listener_;
};

void CapacityLedger::Implementation::addWorker(const LedgerWorker &worker, const std::vector<LedgerEntry> &running)
{
    const std::unique_lock lock(mutex_);
    auto &shardPointer = shards_[worker.shard];
    if (!shardPointer) {
        shardPointer = std::make_unique<LedgerShard>();
    }
    auto &shard = *shardPointer;
    const std::lock_guard shardLock(shard.mutex);
    std::vector<LedgerEntry> reservations;
    if (auto *previousPool = shard.findPool(worker.view.id)) {
        const auto previousEpoch = previousPool->epochs[previousPool->indexes.at(worker.view.id)];
        if (worker.epoch < previousEpoch) {
            return;
        }
        reservations = shard.extractWorker(*previousPool, worker.view.id);
        // A worker claimed with a higher epoch refuses starts of lower ones. Within an epoch a start may not have reached it yet.
        if (worker.epoch > previousEpoch) {
            reservations.clear();
        }
    }
    auto &pool = shard.pools[worker.view.service];
    const auto index = shard.appendWorker(pool, worker);
    for (const auto &entry : reservations) {
        shard.chargeEntry(pool, index, entry, true);
    }
    for (const auto &entry : running) {
        shard.chargeEntry(pool, index, entry, false);
    }
}

CapacityLedger::Implementation::Candidates CapacityLedger::Implementation::findCandidates(const PlacementNeed &need) const
{
    Candidates result;
    result.views.reserve(shards_.size());
    result.shards.reserve(shards_.size());
    for (const auto &[id, shard] : shards_) {
        const std::lock_guard lock(shard->mutex);
        const auto pool = shard->pools.find(need.service);
        if (pool == shard->pools.end()) {
            continue;
        }
        if (const auto index = placer_.choose(need, pool->second.views)) {
            result.views.push_back(pool->second.views[*index]);
            result.shards.emplace_back(id, shard.get());
        }
    }
    return result;
}

std::optional<Reservation> CapacityLedger::Implementation::reserve(const PlacementNeed &need, const LedgerEntry &entry)
{
    const std::shared_lock lock(mutex_);
    auto candidates = findCandidates(need);
    while (const auto best = placer_.choose(need, candidates.views)) {
        const auto position = static_cast<std::ptrdiff_t>(*best);
        auto &[id, shard] = candidates.shards[*best];
        // Another thread may have used the capacity since the shard was read, so the worker is chosen again under the shard's lock.
        if (auto reservation = reserveInShard(id, *shard, need, entry)) {
            return reservation;
        }
        candidates.views.erase(candidates.views.begin() + position);
        candidates.shards.erase(candidates.shards.begin() + position);
    }
    return std::nullopt;
}

std::optional<Reservation> CapacityLedger::Implementation::reserveInShard(const ShardId &id,
                                                                          LedgerShard &shard,
                                                                          const PlacementNeed &need,
                                                                          const LedgerEntry &entry)
{
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.pools.find(need.service);
    if (found == shard.pools.end() || shard.entries.contains(entry.key)) {
        return std::nullopt;
    }
    auto &pool = found->second;
    const auto index = placer_.choose(need, pool.views);
    if (!index) {
        return std::nullopt;
    }
    // Checked here as well, so that a faulty placer cannot overload a worker.
    auto &view = pool.views[*index];
    auto charged = entry;
    charged.need = need.need;
    charged.isLong = need.isLong;
    if (!charged.need.isValid() || !hasCapacity(need, view)) {
        return std::nullopt;
    }
    shard.chargeEntry(pool, *index, charged, true);
    return Reservation { entry.key, view.id, id, pool.epochs[*index], pool.addresses[*index] };
}

LedgerPool::Places CapacityLedger::Implementation::countPlaces(const PlacementNeed &need) const
{
    LedgerPool::Places sum;
    runOnEachShard([&](const ShardId &, LedgerShard &shard) {
        const auto found = shard.pools.find(need.service);
        if (found == shard.pools.end()) {
            return;
        }
        const auto places = found->second.countPlaces(need);
        sum.free += places.free;
        sum.partial += places.partial;
    });
    return sum;
}

void CapacityLedger::Implementation::notifyCapacityFreed() const
{
    std::function<void()> listener;
    {
        const std::lock_guard lock(listenerMutex_);
        listener = listener_;
    }
    if (listener) {
        listener();
    }
}

CapacityLedger::CapacityLedger(const Placer &placer) : implementation_(std::make_unique<Implementation>(placer))
{
}

CapacityLedger::~CapacityLedger() = default;

void CapacityLedger::addWorker(const LedgerWorker &worker, const std::vector<LedgerEntry> &running)
{
    implementation_->addWorker(worker, running);
    implementation_->notifyCapacityFreed();
}

void CapacityLedger::removeWorker(const ShardId &shard, const WorkerId &worker)
{
    implementation_->runOnShard(shard, [&](LedgerShard &state) {
        if (auto *pool = state.findPool(worker)) {
            state.extractWorker(*pool, worker);
        }
    });
}

void CapacityLedger::removeShard(const ShardId &shard)
{
    implementation_->removeShard(shard);
}

void CapacityLedger::setOpen(const ShardId &shard, const WorkerId &worker, bool isOpen)
{
    bool hasOpened = false;
    implementation_->runOnShard(shard, [&](LedgerShard &state) {
        auto *pool = state.findPool(worker);
        if (pool == nullptr) {
            return;
        }
        auto &view = pool->views[pool->indexes.at(worker)];
        hasOpened = isOpen && !view.isOpen;
        view.isOpen = isOpen;
        pool->placeCounts.clear();
    });
    if (hasOpened) {
        implementation_->notifyCapacityFreed();
    }
}

std::optional<Reservation> CapacityLedger::reserve(const PlacementNeed &need, const LedgerEntry &entry)
{
    return implementation_->reserve(need, entry);
}

std::optional<Reservation> CapacityLedger::rename(const ShardId &shard, const std::string &key, const std::string &newKey)
{
    std::optional<Reservation> result;
    implementation_->runOnShard(shard, [&](LedgerShard &state) {
        if (const auto *charged = state.rename(key, newKey)) {
            const auto &pool = state.pools.at(charged->service);
            const auto index = pool.indexes.at(charged->worker);
            result = Reservation { newKey, charged->worker, shard, pool.epochs[index], pool.addresses[index] };
        }
    });
    return result;
}

void CapacityLedger::release(const ShardId &shard, const WorkerId &worker, const std::string &key)
{
    bool isReleased = false;
    implementation_->runOnShard(shard, [&](LedgerShard &state) { isReleased = state.releaseEntry(key, worker); });
    if (isReleased) {
        implementation_->notifyCapacityFreed();
    }
}

int CapacityLedger::freePlaces(const PlacementNeed &need) const
{
    return implementation_->countPlaces(need).free;
}

int CapacityLedger::partialPlaces(const PlacementNeed &need) const
{
    return implementation_->countPlaces(need).partial;
}

std::vector<LedgerWorker> CapacityLedger::workers(const ServiceId &service) const
{
    std::vector<LedgerWorker> result;
    implementation_->runOnEachShard([&](const ShardId &id, const LedgerShard &shard) {
        for (const auto &[poolService, pool] : shard.pools) {
            if (!service.isEmpty() && poolService != service) {
                continue;
            }
            for (std::size_t index = 0; index < pool.views.size(); ++index) {
                result.push_back({ pool.views[index], pool.addresses[index], id, pool.epochs[index] });
            }
        }
    });
    return result;
}

std::map<TeamId, Resources> CapacityLedger::useByTeam() const
{
    std::map<TeamId, Resources> use;
    implementation_->runOnEachShard([&use](const ShardId &, const LedgerShard &shard) {
        for (const auto &[team, amount] : shard.useByTeam) {
            use[team] += amount;
        }
    });
    return use;
}

Resources CapacityLedger::ownedCapacity() const
{
    Resources capacity;
    implementation_->runOnEachShard([&capacity](const ShardId &, const LedgerShard &shard) { capacity += shard.capacity; });
    return capacity;
}

void CapacityLedger::setCapacityListener(std::function<void()> listener)
{
    implementation_->setCapacityListener(std::move(listener));
}

} // namespace auburndoor
