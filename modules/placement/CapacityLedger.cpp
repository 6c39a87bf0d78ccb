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
    LedgerPool::Places places(const PlacementNeed &need) const;
    void notifyRoom() const;

    /** Runs an action on a shard under its lock. @return false if the shard is not known */
    template<typename Action>
    bool onShard(const ShardId &id, const Action &action)
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

    /** Runs an action on each shard in turn, each under its own lock. */
    template<typename Action>
    void onEachShard(const Action &action) const
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
    /** The best worker of one shard; the shards' candidates are compared by the placer. */
    struct Candidates
    {
        std::vector<WorkerView> views;
        std::vector<std::pair<ShardId, LedgerShard *>> shards;
    };

    Candidates candidates(const PlacementNeed &need) const;
    std::optional<Reservation> reserveIn(const ShardId &id,
                                         LedgerShard &shard,
                                         const PlacementNeed &need,
                                         const LedgerEntry &entry);

    const Placer &placer_;
    /** Guards the set of shards; always locked before the lock of a shard. */
    mutable std::shared_mutex mutex_;
    std::map<ShardId, std::unique_ptr<LedgerShard>> shards_;
    mutable std::mutex listenerMutex_;
    std::function<void()> listener_;
};

void CapacityLedger::Implementation::addWorker(const LedgerWorker &worker, const std::vector<LedgerEntry> &running)
{
    const std::unique_lock lock(mutex_);
    auto &slot = shards_[worker.shard];
    if (!slot) {
        slot = std::make_unique<LedgerShard>();
    }
    auto &shard = *slot;
    const std::lock_guard shardLock(shard.mutex);
    std::vector<LedgerEntry> kept;
    if (auto *known = shard.poolOf(worker.view.id)) {
        const auto knownEpoch = known->epochs[known->indexes.at(worker.view.id)];
        if (worker.epoch < knownEpoch) {
            return;
        }
        kept = shard.takeOut(*known, worker.view.id);
        // A new epoch fences the starts of the old one; within an epoch a start may still be on its way to the worker.
        if (worker.epoch > knownEpoch) {
            kept.clear();
        }
    }
    auto &pool = shard.pools[worker.view.service];
    const auto index = shard.append(pool, worker);
    for (const auto &entry : kept) {
        shard.hold(pool, index, entry, true);
    }
    for (const auto &entry : running) {
        shard.hold(pool, index, entry, false);
    }
}

CapacityLedger::Implementation::Candidates CapacityLedger::Implementation::candidates(const PlacementNeed &need) const
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
    auto open = candidates(need);
    while (const auto best = placer_.choose(need, open.views)) {
        const auto position = static_cast<std::ptrdiff_t>(*best);
        auto &[id, shard] = open.shards[*best];
        // Another thread may have taken the room since the shard was read, so the choice is made again under its lock.
        if (auto reservation = reserveIn(id, *shard, need, entry)) {
            return reservation;
        }
        open.views.erase(open.views.begin() + position);
        open.shards.erase(open.shards.begin() + position);
    }
    return std::nullopt;
}

std::optional<Reservation> CapacityLedger::Implementation::reserveIn(const ShardId &id,
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
    // The ledger checks the need itself, so that a faulty placer cannot overload a worker.
    auto &view = pool.views[*index];
    auto held = entry;
    held.need = need.need;
    held.isLong = need.isLong;
    if (!held.need.isValid() || !hasCapacity(need, view)) {
        return std::nullopt;
    }
    shard.hold(pool, *index, held, true);
    return Reservation { entry.key, view.id, id, pool.epochs[*index], pool.addresses[*index] };
}

LedgerPool::Places CapacityLedger::Implementation::places(const PlacementNeed &need) const
{
    LedgerPool::Places sum;
    onEachShard([&](const ShardId &, LedgerShard &shard) {
        const auto found = shard.pools.find(need.service);
        if (found == shard.pools.end()) {
            return;
        }
        const auto places = found->second.places(need);
        sum.free += places.free;
        sum.partial += places.partial;
    });
    return sum;
}

void CapacityLedger::Implementation::notifyRoom() const
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
    implementation_->notifyRoom();
}

void CapacityLedger::removeWorker(const ShardId &shard, const WorkerId &worker)
{
    implementation_->onShard(shard, [&](LedgerShard &state) {
        if (auto *pool = state.poolOf(worker)) {
            state.takeOut(*pool, worker);
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
    implementation_->onShard(shard, [&](LedgerShard &state) {
        auto *pool = state.poolOf(worker);
        if (pool == nullptr) {
            return;
        }
        auto &view = pool->views[pool->indexes.at(worker)];
        hasOpened = isOpen && !view.isOpen;
        view.isOpen = isOpen;
        pool->counted.clear();
    });
    if (hasOpened) {
        implementation_->notifyRoom();
    }
}

std::optional<Reservation> CapacityLedger::reserve(const PlacementNeed &need, const LedgerEntry &entry)
{
    return implementation_->reserve(need, entry);
}

std::optional<Reservation> CapacityLedger::rename(const ShardId &shard, const std::string &key, const std::string &newKey)
{
    std::optional<Reservation> result;
    implementation_->onShard(shard, [&](LedgerShard &state) {
        if (const auto *held = state.rename(key, newKey)) {
            const auto &pool = state.pools.at(held->service);
            const auto index = pool.indexes.at(held->worker);
            result = Reservation { newKey, held->worker, shard, pool.epochs[index], pool.addresses[index] };
        }
    });
    return result;
}

void CapacityLedger::release(const ShardId &shard, const WorkerId &worker, const std::string &key)
{
    bool isReleased = false;
    implementation_->onShard(shard, [&](LedgerShard &state) { isReleased = state.drop(key, worker); });
    if (isReleased) {
        implementation_->notifyRoom();
    }
}

int CapacityLedger::freePlaces(const PlacementNeed &need) const
{
    return implementation_->places(need).free;
}

int CapacityLedger::partialPlaces(const PlacementNeed &need) const
{
    return implementation_->places(need).partial;
}

std::vector<LedgerWorker> CapacityLedger::workers(const ServiceId &service) const
{
    std::vector<LedgerWorker> result;
    implementation_->onEachShard([&](const ShardId &id, const LedgerShard &shard) {
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
    implementation_->onEachShard([&use](const ShardId &, const LedgerShard &shard) {
        for (const auto &[team, amount] : shard.useByTeam) {
            use[team] += amount;
        }
    });
    return use;
}

Resources CapacityLedger::ownedCapacity() const
{
    Resources capacity;
    implementation_->onEachShard([&capacity](const ShardId &, const LedgerShard &shard) { capacity += shard.capacity; });
    return capacity;
}

void CapacityLedger::setCapacityListener(std::function<void()> listener)
{
    implementation_->setCapacityListener(std::move(listener));
}

} // namespace auburndoor
