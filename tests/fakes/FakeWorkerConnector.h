#pragma once

#include "fakes/FakeWorker.h"
#include "worker/WorkerConnector.h"

#include <map>

namespace auburndoor {

/** Gives out the workers that a test has put in. Any thread, as long as the map is left alone. */
class FakeWorkerConnector : public WorkerConnector
{
public:
    std::shared_ptr<WorkerConnection> connect(const WorkerId &worker, const std::string &) override
    {
        const auto found = workers.find(worker);
        return found == workers.end() ? nullptr : found->second;
    }

    std::map<WorkerId, std::shared_ptr<FakeWorker>> workers;
};

} // namespace auburndoor
