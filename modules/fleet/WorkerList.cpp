#include "fleet/WorkerList.h"

namespace auburndoor {

WorkerList::WorkerList(int shardsPerDomain) : shardMap_(shardsPerDomain, OwnershipMode::Sharded, {})
{
}

bool WorkerList::update(const ListedWorker &worker)
{
    if (const auto known = workers_.find(worker.id); known != workers_.end()) {
        capacity_ -= known->second.capacity;
        workers_.erase(known);
    }
    if (worker.state == ListedState::Gone) {
        return false;
    }
    workers_[worker.id] = worker;
    capacity_ += worker.capacity;
    return domains_.emplace(worker.failureDomain, worker.region).second;
}

ShardId WorkerList::shardOf(const ListedWorker &worker) const
{
    return shardMap_.shardOf(worker.failureDomain, worker.id);
}

ShardId WorkerList::shardBefore(const ListedWorker &change) const
{
    const auto known = workers_.find(change.id);
    return shardOf(known == workers_.end() ? change : known->second);
}

std::vector<ListedWorker> WorkerList::workersOf(const ShardId &shard) const
{
    std::vector<ListedWorker> result;
    for (const auto &[id, worker] : workers_) {
        if (shardOf(worker) == shard) {
            result.push_back(worker);
        }
    }
    return result;
}

const std::map<FailureDomainId, RegionId> &WorkerList::domains() const
{
    return domains_;
}

const Resources &WorkerList::capacity() const
{
    return capacity_;
}

std::vector<ListedWorker> WorkerList::pool(const ServiceId &service) const
{
    std::vector<ListedWorker> result;
    for (const auto &[id, worker] : workers_) {
        if (worker.service == service) {
            result.push_back(worker);
        }
    }
    return result;
}

} // namespace auburndoor
