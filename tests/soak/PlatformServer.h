#pragma once

#include "fakes/FakeStore.h"
#include "fakes/StartChecker.h"
#include "net/HttpListener.h"
#include "soak/FaultyLink.h"
#include "soak/StoreFault.h"

#include <limits>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace auburndoor {

/** Cuts a worker off from the processes whose fencing tokens are in a range. */
struct TokenCut
{
    std::string worker;
    std::int64_t firstToken = 0;
    std::int64_t lastToken = std::numeric_limits<std::int64_t>::max();
};

/**
    Serves a simulated store and simulated workers over HTTP on loopback, in the platform's protocol.

    Each worker is reached through a FaultyLink; the links to the store belong to its clients.
*/
class PlatformServer
{
public:
    explicit PlatformServer(EventLoop &loop);
    ~PlatformServer();

    /** The address on which the store listens, without a FaultyLink. */
    Address storeAddress() const;

    /** Opens a further address of the store for one process, whose calls setStoreFault() disturbs. */
    Address addStoreClient(const std::string &process);

    /** Sets what the store does with the calls of a process; ends what its calls that are held back wait for. */
    void setStoreFault(const std::string &process, const StoreFault &fault);

    /** Called after each takeover that the store has applied, before it is answered, with the name of the new owner; if set. */
    std::function<void(const std::string &owner)> onTakeover;

    /** Adds a worker and writes its row to the store. @param plan returns duration and outcome of each run */
    void addWorker(const std::string &id, int cores, SimulatedWorker::Plan plan);

    /** Writes a worker's row, with its current incarnation, to the store. */
    void registerWorker(const std::string &id);

    /** Restarts a worker under the same id with a new incarnation; its open connections are reset. */
    void restartWorker(const std::string &id);

    FaultyLink &workerLink(const std::string &id);

    /** The cuts in force. Requests and replies that meet one are lost; their connections are closed after its end. */
    std::list<TokenCut> tokenCuts;

    FakeStore store;
    SimulatedFleet fleet;
    StartChecker checker;

    /** Called for each start or stop command to draw its fault, if set. */
    std::function<CommandFault()> drawFault;

    /** Called after each start that a worker has carried out. */
    std::function<void(const StartCommand &)> onStarted;

private:
    struct WorkerEndpoint
    {
        std::unique_ptr<HttpListener> listener;
        std::unique_ptr<FaultyLink> link;
    };

    /** A request for a task report; it is answered when a run has ended or at the time limit. */
    struct ReportRequest
    {
        std::int64_t acknowledged = 0;
        std::optional<TimePoint> deadline;
        std::int64_t token = 0;
        TimePoint pollDeadline;
        std::int64_t incarnation = 0;
    };

    /** A process's way to the store. */
    struct StoreClient
    {
        std::unique_ptr<HttpListener> listener;
        StoreFault fault;
        /** The responders of calls that get no answer. */
        std::vector<HttpResponderPointer> held;
    };

    void serveStore(const WebRequest &request, const HttpResponderPointer &responder);
    /** Serves a call of one process under its fault. */
    void serveStoreClient(StoreClient &client, const WebRequest &request, const HttpResponderPointer &responder);
    void serveTransaction(const std::string &body, const HttpResponderPointer &responder);
    void serveWorker(const std::string &id, const WebRequest &request, const HttpResponderPointer &responder);
    void serveCommand(const std::string &id, const WebRequest &request, const HttpResponderPointer &responder);
    void answerReportRequest(const std::string &id, const ReportRequest &reportRequest, const HttpResponderPointer &responder);

    bool isCut(const std::string &id, std::int64_t token) const;
    /** Leaves a request to a worker without a reply until no cut applies to it, then closes its connection. */
    void holdWhileCut(const std::string &id, std::int64_t token, const HttpResponderPointer &responder);

    EventLoop &loop_;
    std::unique_ptr<HttpListener> storeListener_;
    std::map<std::string, StoreClient> storeClients_;
    std::map<std::string, WorkerEndpoint> workers_;
};

} // namespace auburndoor
