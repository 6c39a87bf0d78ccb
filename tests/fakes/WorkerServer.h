#pragma once

#include "fakes/FakeWorker.h"

#include <memory>
#include <string>

namespace auburndoor {

/** Serves one FakeWorker by the protocol of docs/protocols/worker.md, with the faults that belong to the network. */
class WorkerServer
{
public:
    WorkerServer(WorkerId id, const Resources &capacity, Clock &clock);
    ~WorkerServer();

    /** Listens and serves on threads of its own. @param port 0 lets the system choose @return the port, 0 on failure */
    int start(const std::string &address, int port);

    void stop();

    /** The rules behind the protocol. */
    FakeWorker &worker();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace auburndoor
