#pragma once

#include "fakes/FakeStore.h"
#include "fakes/StartChecker.h"
#include "net/HttpListener.h"
#include "soak/FaultyLink.h"

#include <map>
#include <memory>
#include <string>

namespace auburndoor {

/** The platform's store and workers as HTTP servers on loopback, each behind a link with faults, in the protocol of its pages. */
class PlatformServer
{
public:
    explicit PlatformServer(EventLoop &loop);
    ~PlatformServer();

    /** Where the store listens; connections to it go over links of their own. */
    Address storeAddress() const;

    void addWorker(const std::string &id, int cores, SimulatedWorker::Plan plan);

    /** Writes a worker's entry with its present life. */
    void registerWorker(const std::string &id);

    /** A new life under the same id. */
    void restartWorker(const std::string &id);

    FaultyLink &workerLink(const std::string &id);

    FakeStore store;
    SimulatedFleet fleet;
    StartChecker checker;

    /** Draws the fault of each start or stop. */
    std::function<CommandFault()> drawFault;

    /** Called for each start that a worker has begun. */
    std::function<void(const StartCommand &)> onStarted;

private:
    struct WorkerEndpoint
    {
        std::unique_ptr<HttpListener> listener;
        std::unique_ptr<FaultyLink> link;
    };

    /** A question for a report, that may wait for an end. */
    struct Look
    {
        std::int64_t acknowledged = 0;
        std::optional<TimePoint> deadline;
        std::int64_t token = 0;
        TimePoint until;
        std::int64_t incarnation = 0;
    };

    void serveStore(const WebRequest &request, const HttpResponderPointer &responder);
    void serveTransaction(const std::string &body, const HttpResponderPointer &responder);
    void serveWorker(const std::string &id, const WebRequest &request, const HttpResponderPointer &responder);
    void serveOrder(const std::string &id, const WebRequest &request, const HttpResponderPointer &responder);
    void answerLook(const std::string &id, const Look &look, const HttpResponderPointer &responder);

    EventLoop &loop_;
    std::unique_ptr<HttpListener> storeListener_;
    std::map<std::string, WorkerEndpoint> workers_;
};

} // namespace auburndoor
