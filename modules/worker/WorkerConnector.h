#pragma once

#include "core/Identifier.h"

#include <memory>
#include <string>

namespace auburndoor {

class WorkerConnection;

/** Makes connections to workers; an interface, so that tests can use fake workers. */
class WorkerConnector
{
public:
    virtual ~WorkerConnector() = default;

    /** Returns a connection to the worker. It is opened on first use. Thread-safe. @param address "ip:port" */
    virtual std::shared_ptr<WorkerConnection> connect(const WorkerId &worker, const std::string &address) = 0;
};

} // namespace auburndoor
