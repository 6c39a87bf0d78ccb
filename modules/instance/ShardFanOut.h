#pragma once

#include "ownership/ShardListener.h"

#include <memory>

namespace auburndoor {

class JobRunner;
class OwnershipManager;
class WorkerManager;

/** Passes the gain and loss of shards on to the worker manager and the job runner. */
class ShardFanOut : public ShardListener
{
public:
    /** The pointers jobs and ownership may still be empty here; they are set before the ownership thread starts. */
    ShardFanOut(WorkerManager &workers, std::unique_ptr<JobRunner> &jobs, std::unique_ptr<OwnershipManager> &ownership);

    void shardGained(const ShardId &shard, Epoch epoch) override;
    void shardLost(const ShardId &shard) override;
    void shardConfirmed(const ShardId &shard, Epoch epoch, TimePoint readTime) override;

private:
    WorkerManager &workers_;
    std::unique_ptr<JobRunner> &jobs_;
    std::unique_ptr<OwnershipManager> &ownership_;
};

} // namespace auburndoor
