#pragma once

#include "cell/ChildProcess.h"
#include "http/HttpMessage.h"

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace auburndoor {

/** The ports that one auburndoord process listens on. */
struct InstancePorts
{
    int callers = 0;
    int operators = 0;
    int peers = 0;
};

/** Workers of one pool in one failure domain, served by one stand-in process. */
struct WorkerGroup
{
    std::string service;
    std::string failureDomain;
    std::string region;
    int count = 1;
    int milliCores = 32'000;
    int memoryMib = 128 * 1024;
    int accelerators = 0;
    int slots = 8;
    int connections = 64;
};

/** Time limits of a cell; tests shorten them so that takeovers come soon. */
struct CellTimes
{
    int leaseMs = 6000;
    int renewalMs = 2000;
};

/** A cell of real processes on loopback: the platform's stand-in, workers and entry instances. Used by one thread, except call().
 */
class Cell
{
public:
    /** @param programs folder of the built programs @param folder an empty folder for logs, settings and port files */
    Cell(std::string programs, std::string folder, CellTimes times = {});
    ~Cell();

    void startPlatform();
    void startWorkers(const WorkerGroup &group);

    /**
        Starts an instance and waits until its ports are known.

        @param extra JSON members of the settings, such as ", \"queue\": {...}"
        @param isOnOldPorts true: on the ports of the process that had this id before, as an instance with a fixed address
    */
    void startInstance(const std::string &id,
                       const std::string &failureDomain,
                       const std::string &region,
                       const std::string &extra = {},
                       bool isOnOldPorts = false);

    /** Waits until the instance reports that it is ready. */
    bool waitUntilReady(const std::string &id, std::chrono::milliseconds limit);

    ChildProcess &instance(const std::string &id);
    ChildProcess &platform();

    /** Forgets a process that has ended. */
    void forgetInstance(const std::string &id);

    std::vector<std::string> instances() const;
    std::string callersAddress(const std::string &id) const;
    std::string operatorsAddress(const std::string &id) const;
    std::string platformAddress() const;
    /** Addresses of all workers, by worker id. */
    std::map<std::string, std::string> workerAddresses() const;

    /** Exchanges one message on a connection of its own. Any thread. */
    static std::optional<HttpReply> call(const std::string &address,
                                         const std::string &method,
                                         const std::string &path,
                                         const std::string &body,
                                         const std::map<std::string, std::string> &headers,
                                         std::chrono::milliseconds timeout);

    /** Applies a declaration through an instance. @return the reply */
    std::optional<HttpReply> apply(const std::string &instance, const std::string &text, long long expectedVersion);

    /** Sends SIGTERM to all instances and waits. @return true if all ended with code 0 */
    bool stopInstances(std::chrono::milliseconds limit);

    static constexpr const char *operatorToken = "operator-token-of-the-demo";

private:
    std::string waitForFile(const std::string &name, ChildProcess &process) const;
    std::string path(const std::string &name) const;

    std::string programs_;
    std::string folder_;
    CellTimes times_;
    std::unique_ptr<ChildProcess> platform_;
    std::string platformAddress_;
    std::vector<std::unique_ptr<ChildProcess>> workers_;
    std::map<std::string, std::unique_ptr<ChildProcess>> instances_;
    std::map<std::string, InstancePorts> ports_;
    int startCount_ = 0;
};

} // namespace auburndoor
