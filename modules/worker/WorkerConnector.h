#pragma once

#include "core/Identifier.h"

#include <memory>
#include <string>

namespace auburndoor {

class WorkerConnection;

/** Makes connections to workers; tests put their own in its place. */
class WorkerConnector
{
public:
    virtual ~WorkerConnector() = default;

    /** A connection to the worker at "ip:port". It connects on first use. Any thread. */
    virtual std::shared_ptr<WorkerConnection> connect(const WorkerId &worker, const std::string &address) = 0;
};

} // namespace auburndoor
