#include "worker/HttpWorkerConnector.h"

#include "worker/HttpWorkerConnection.h"

namespace auburndoor {

HttpWorkerConnector::HttpWorkerConnector(Clock &clock, Metrics &metrics) : clock_(clock), metrics_(metrics)
{
}

std::shared_ptr<WorkerConnection> HttpWorkerConnector::connect(const WorkerId &worker, const std::string &address)
{
    const std::lock_guard lock(mutex_);
    std::erase_if(connections_, [](const auto &entry) { return entry.second.expired(); });
    auto &cached = connections_[{ worker, address }];
    auto connection = cached.lock();
    if (!connection) {
        connection = std::make_shared<HttpWorkerConnection>(worker, address, clock_, metrics_);
        cached = connection;
    }
    return connection;
}

} // namespace auburndoor
