#include "placement/LedgerShard.h"

#include "placement/WorkerFit.h"

#include <algorithm>

namespace auburndoor {

LedgerPool::Places LedgerPool::places(const PlacementNeed &need)
{
    const auto known = std::find_if(counted.begin(), counted.end(), [&need](const CountedPlaces &count) {
        return count.need == need.need && count.isLong == need.isLong && count.shortReservePercent == need.shortReservePercent;
    });
    if (known != counted.end()) {
        return known->places;
    }
    CountedPlaces count { need.need, need.isLong, need.shortReservePercent, {} };
    for (const auto &view : views) {
        const auto places = freePlaces(need, view);
        count.places.free += places;
        count.places.partial += view.used == Resources {} ? 0 : places;
    }
    // Bounds the memory for callers that ask with ever new needs.
    constexpr std::size_t countLimit = 8;
    if (counted.size() < countLimit) {
        counted.push_back(count);
    }
    return count.places;
}

LedgerPool *LedgerShard::poolOf(const WorkerId &worker)
{
    for (auto &[service, pool] : pools) {
        if (pool.indexes.contains(worker)) {
            return &pool;
        }
    }
    return nullptr;
}

std::size_t LedgerShard::append(LedgerPool &pool, const LedgerWorker &worker)
{
    const auto index = pool.views.size();
    pool.views.push_back(worker.view);
    pool.views.back().used = {};
    pool.views.back().longTasks = 0;
    pool.addresses.push_back(worker.address);
    pool.epochs.push_back(worker.epoch);
    pool.indexes[worker.view.id] = index;
    pool.counted.clear();
    capacity += worker.view.capacity;
    return index;
}

std::vector<LedgerEntry> LedgerShard::takeOut(LedgerPool &pool, const WorkerId &worker)
{
    const auto index = pool.indexes.at(worker);
    std::vector<LedgerEntry> reservations;
    for (auto entry = entries.begin(); entry != entries.end();) {
        if (entry->second.worker != worker) {
            ++entry;
            continue;
        }
        discharge(pool.views[index], entry->second.entry);
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
    pool.counted.clear();
    return reservations;
}

void LedgerShard::hold(LedgerPool &pool, std::size_t index, const LedgerEntry &entry, bool isReservation)
{
    auto &view = pool.views[index];
    if (!entries.try_emplace(entry.key, HeldEntry { view.service, view.id, entry, isReservation }).second) {
        return;
    }
    view.used += entry.need;
    view.longTasks += entry.isLong ? 1 : 0;
    useByTeam[entry.team] += entry.need;
    pool.counted.clear();
}

bool LedgerShard::drop(const std::string &key, const WorkerId &worker)
{
    const auto found = entries.find(key);
    if (found == entries.end() || found->second.worker != worker) {
        return false;
    }
    auto &pool = pools.at(found->second.service);
    discharge(pool.views[pool.indexes.at(worker)], found->second.entry);
    pool.counted.clear();
    entries.erase(found);
    return true;
}

const LedgerShard::HeldEntry *LedgerShard::rename(const std::string &key, const std::string &newKey)
{
    if (!entries.contains(key) || (key != newKey && entries.contains(newKey))) {
        return nullptr;
    }
    auto node = entries.extract(key);
    node.key() = newKey;
    node.mapped().entry.key = newKey;
    return &entries.insert(std::move(node)).position->second;
}

void LedgerShard::discharge(WorkerView &view, const LedgerEntry &entry)
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
