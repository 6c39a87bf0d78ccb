#pragma once

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
};

} // namespace auburndoor
