#pragma once

#include "core/Identifier.h"

#include <memory>

namespace auburndoor {

class WorkerConnection;

/** A worker that this instance has claimed, with the epoch and the connection that orders to it use. */
struct OwnedWorker
{
    WorkerId id;
    ShardId shard;
    Epoch epoch = 0;
    std::shared_ptr<WorkerConnection> connection;
};

} // namespace auburndoor
