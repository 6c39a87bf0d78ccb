#include "placement/LedgerShard.h"

#include "placement/WorkerFit.h"

#include <algorithm>

namespace auburndoor {

LedgerPool::Places LedgerPool::countPlaces(const PlacementNeed &need)
{
    const auto cached = std::find_if(placeCounts.begin(), placeCounts.end(), [&need](const CachedPlaceCount &count) {
        return count.need == need.need && count.isLong == need.isLong && count.shortReservePercent == need.shortReservePercent;
    });
    if (cached != placeCounts.end()) {
        return cached->places;
    }
    CachedPlaceCount newCount { need.need, need.isLong, need.shortReservePercent, {} };
    for (const auto &view : views) {
        const auto places = freePlaces(need, view);
        newCount.places.free += places;
        newCount.places.partial += view.used == Resources {} ? 0 : places;
    }
    // Bounds the memory of the cache; counts for further needs are not cached.
    constexpr std::size_t cachedCountLimit = 8;
    if (placeCounts.size() < cachedCountLimit) {
        placeCounts.push_back(newCount);
    }
    return newCount.places;
}

LedgerPool *LedgerShard::findPool(const WorkerId &worker)
{
    for (auto &[service, pool] : pools) {
        if (pool.indexes.contains(worker)) {
            return &pool;
        }
    }
    return nullptr;
}

std::size_t LedgerShard::appendWorker(LedgerPool &pool, const LedgerWorker &worker)
{
    const auto index = pool.views.size();
    pool.views.push_back(worker.view);
    pool.views.back().used = {};
    pool.views.back().longTasks = 0;
    pool.addresses.push_back(worker.address);
    pool.epochs.push_back(worker.epoch);
    pool.indexes[worker.view.id] = index;
    pool.placeCounts.clear();
    capacity += worker.view.capacity;
    return index;
}

std::vector<LedgerEntry> LedgerShard::extractWorker(LedgerPool &pool, const WorkerId &worker)
{
    const auto index = pool.indexes.at(worker);
    std::vector<LedgerEntry> reservations;
    for (auto entry = entries.begin(); entry != entries.end();) {
        if (entry->second.worker != worker) {
            ++entry;
            continue;
        }
        subtractUse(pool.views[index], entry->second.entry);
        if (entry->second.isReservation) {
            reservations.push_back(entry->second.entry);
        }
        entry = entries.erase(entry);
    }
    capacity -= pool.views[index].capacity;
    const auto offset = static_cast<std::ptrdiff_t>(index);
    pool.indexes.erase(worker);
    pool.views.erase(pool.views.begin() + offset);
    pool.addresses.erase(pool.addresses.begin() + offset);
    pool.epochs.erase(pool.epochs.begin() + offset);
    for (auto position = index; position < pool.views.size(); ++position) {
        pool.indexes[pool.views[position].id] = position;
    }
    pool.placeCounts.clear();
    return reservations;
}

void LedgerShard::chargeEntry(LedgerPool &pool, std::size_t index, const LedgerEntry &entry, bool isReservation)
{
    auto &view = pool.views[index];
    if (!entries.try_emplace(entry.key, ChargedEntry { view.service, view.id, entry, isReservation }).second) {
        return;
    }
    view.used += entry.need;
    view.longTasks += entry.isLong ? 1 : 0;
    useByTeam[entry.team] += entry.need;
    pool.placeCounts.clear();
}

bool LedgerShard::releaseEntry(const std::string &key, const WorkerId &worker)
{
    const auto found = entries.find(key);
    if (found == entries.end() || found->second.worker != worker) {
        return false;
    }
    auto &pool = pools.at(found->second.service);
    subtractUse(pool.views[pool.indexes.at(worker)], found->second.entry);
    pool.placeCounts.clear();
    entries.erase(found);
    return true;
}

const LedgerShard::ChargedEntry *LedgerShard::rename(const std::string &key, const std::string &newKey)
{
    if (!entries.contains(key) || (key != newKey && entries.contains(newKey))) {
        return nullptr;
    }
    auto node = entries.extract(key);
    node.key() = newKey;
    node.mapped().entry.key = newKey;
    return &entries.insert(std::move(node)).position->second;
}

void LedgerShard::subtractUse(WorkerView &view, const LedgerEntry &entry)
{
    view.used -= entry.need;
    view.longTasks -= entry.isLong ? 1 : 0;
    const auto use = useByTeam.find(entry.team);
    if (use == useByTeam.end()) {
        return;
    }
    use->second -= entry.need;
    if (use->second == Resources {}) {
        useByTeam.erase(use);
    }
}

} // namespace auburndoor
