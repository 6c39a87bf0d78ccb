#pragma once

#include "core/Identifier.h"

#include <memory>

namespace auburndoor {

class WorkerConnection;

/** A worker that this instance has claimed, with what an order to it needs. */
struct OwnedWorker
{
    WorkerId id;
    ShardId shard;
    Epoch epoch = 0;
    std::shared_ptr<WorkerConnection> connection;
};

} // namespace auburndoor
