#include "ownership/OwnershipManager.h"

namespace auburndoor {

OwnershipManager::OwnershipManager(const OwnershipOptions &options,
                                   TableService &table,
                                   ShardListener &listener,
                                   Clock &clock,
                                   Metrics &metrics)
    : clock_(clock), agent_(options, table, listener, clock, metrics)
{
}

OwnershipManager::~OwnershipManager()
{
    stopThread();
}

void OwnershipManager::setDomains(const ShardMap::Domains &domains)
{
    {
        const std::lock_guard lock(mutex_);
        pendingDomains_ = domains;
    }
    condition_.notify_all();
}

void OwnershipManager::setInstancesListener(std::function<void(const std::vector<Member> &)> listener)
{
    agent_.setInstancesListener(std::move(listener));
}

void OwnershipManager::start()
{
    thread_ = std::thread([this] { run(); });
}

void OwnershipManager::beginLeaving()
{
    {
        const std::lock_guard lock(mutex_);
        isLeaving_ = true;
    }
    condition_.notify_all();
}

bool OwnershipManager::stop(Milliseconds timeout)
{
    stopThread();
    agent_.beginLeaving();
    return agent_.release(clock_.now() + timeout);
}

void OwnershipManager::run()
{
    bool isLeaving = false;
    std::unique_lock lock(mutex_);
    while (!isStopping_) {
        const auto domains = std::exchange(pendingDomains_, std::nullopt);
        const bool hasBegunLeaving = isLeaving_ && !isLeaving;
        isLeaving = isLeaving_;
        lock.unlock();
        if (domains) {
            agent_.setDomains(*domains);
        }
        if (hasBegunLeaving) {
            agent_.beginLeaving();
        }
        const auto next = agent_.step();
        lock.lock();
        clock_.waitUntil(lock, condition_, next, [&] { return isStopping_ || pendingDomains_ || isLeaving_ != isLeaving; });
    }
}

void OwnershipManager::stopThread()
{
    {
        const std::lock_guard lock(mutex_);
        isStopping_ = true;
    }
    condition_.notify_all();
    if (thread_.joinable()) {
        thread_.join();
    }
}

std::map<ShardId, OwnedShard> OwnershipManager::ownedShards() const
{
    return agent_.ownedShards();
}

std::optional<OwnedShard> OwnershipManager::ownedShard(const ShardId &shard) const
{
    return agent_.ownedShard(shard);
}

ShardId OwnershipManager::shardOf(const FailureDomainId &domain, const WorkerId &worker) const
{
    return agent_.shardOf(domain, worker);
}

bool OwnershipManager::isRegistered() const
{
    return agent_.isRegistered();
}

bool OwnershipManager::isSuperseded() const
{
    return agent_.isSuperseded();
}

} // namespace auburndoor
