#pragma once

#include "worker/WorkerConnector.h"

#include <map>
#include <mutex>

namespace auburndoor {

class Clock;
class Metrics;

/** Makes HttpWorkerConnections. Returns an existing connection to the same worker and address while it is in use. Thread-safe. */
class HttpWorkerConnector : public WorkerConnector
{
public:
    /** @param clock and metrics must outlive the connections */
    HttpWorkerConnector(Clock &clock, Metrics &metrics);

    std::shared_ptr<WorkerConnection> connect(const WorkerId &worker, const std::string &address) override;

private:
    Clock &clock_;
    Metrics &metrics_;
    std::mutex mutex_;
    std::map<std::pair<WorkerId, std::string>, std::weak_ptr<WorkerConnection>> connections_;
};

} // namespace auburndoor
