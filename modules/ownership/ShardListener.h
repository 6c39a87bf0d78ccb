#pragma once

#include "core/Clock.h"
#include "core/Identifier.h"

namespace auburndoor {

/** Receives the changes of the shards that this instance owns. Called on the ownership thread; must return quickly. */
class ShardListener
{
public:
    virtual ~ShardListener() = default;

    /** Called when this instance has become the owner of the shard in this epoch; it has yet to claim the shard's workers. */
    virtual void shardGained(const ShardId &shard, Epoch epoch) = 0;

    /** Called when this instance has ceased to own the shard; it must no longer place work on the shard's workers. */
    virtual void shardLost(const ShardId &shard) = 0;

    /**
        Called after each read of the table that shows this instance as the owner in this epoch. No other instance had claimed the
        shard's workers when the read began, at readTime.
    */
    virtual void shardConfirmed(const ShardId &shard, Epoch epoch, TimePoint readTime) = 0;
};

} // namespace auburndoor
