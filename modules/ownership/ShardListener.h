#pragma once

#include "core/Identifier.h"

namespace auburndoor {

/** Is told when this instance gains or loses a shard. Called on the ownership thread; returns quickly. */
class ShardListener
{
public:
    virtual ~ShardListener() = default;

    /** The table says that this instance owns the shard with this epoch; its workers are still to be claimed. */
    virtual void shardGained(const ShardId &shard, Epoch epoch) = 0;

    /** The shard belongs to another instance, or has been released: place nothing there any more. */
    virtual void shardLost(const ShardId &shard) = 0;
};

} // namespace auburndoor
