#pragma once

#include "ownership/ShardListener.h"

#include <memory>

namespace auburndoor {

class JobRunner;
class OwnershipManager;
class WorkerManager;

/** Tells both the workers' and the jobs' side of an instance which shards it owns. */
class ShardFanOut : public ShardListener
{
public:
    /** @param jobs and ownership are made later, but before the ownership thread starts */
    ShardFanOut(WorkerManager &workers, std::unique_ptr<JobRunner> &jobs, std::unique_ptr<OwnershipManager> &ownership);

    void shardGained(const ShardId &shard, Epoch epoch) override;
    void shardLost(const ShardId &shard) override;

private:
    WorkerManager &workers_;
    std::unique_ptr<JobRunner> &jobs_;
    std::unique_ptr<OwnershipManager> &ownership_;
};

} // namespace auburndoor
