#include "instance/ShardFanOut.h"

#include "fleet/WorkerManager.h"
#include "jobs/JobRunner.h"
#include "ownership/OwnershipManager.h"

namespace auburndoor {

ShardFanOut::ShardFanOut(WorkerManager &workers, std::unique_ptr<JobRunner> &jobs, std::unique_ptr<OwnershipManager> &ownership)
    : workers_(workers), jobs_(jobs), ownership_(ownership)
{
}

void ShardFanOut::shardGained(const ShardId &shard, Epoch epoch)
{
    workers_.shardGained(shard, epoch);
    const auto owned = ownership_->ownedShard(shard);
    if (owned && owned->epoch == epoch) {
        jobs_->shardGained(shard, epoch, owned->rowVersion);
    }
}

void ShardFanOut::shardLost(const ShardId &shard)
{
    jobs_->shardLost(shard);
    workers_.shardLost(shard);
}

void ShardFanOut::shardConfirmed(const ShardId &shard, Epoch epoch, TimePoint readTime)
{
    workers_.shardConfirmed(shard, epoch, readTime);
}

} // namespace auburndoor
