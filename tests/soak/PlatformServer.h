#pragma once

#include "fakes/FakeStore.h"
#include "fakes/StartChecker.h"
#include "net/HttpListener.h"
#include "soak/FaultyLink.h"
#include "soak/StoreFault.h"

#include <nlohmann/json.hpp>

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

    /** As above, without a row; the address of the entry is set, to that of a former worker if one is named. */
    SimulatedWorker &addWorker(WorkerEntry entry, SimulatedWorker::Plan plan, const std::string &former = {});

    /** Writes a worker's row, with its current incarnation, to the store. */
    void registerWorker(const std::string &id);
    /** The row of a worker that is ready, without the members that tell its state. */
    nlohmann::json makeWorkerRow(const std::string &id);

    /** Restarts a worker under the same id with a new incarnation and a clock that begins at zero; its open connections are reset.
     */
    void restartWorker(const std::string &id);

    FaultyLink &workerLink(const std::string &id);

    /** The cuts in force. Requests and replies that meet one are lost; their connections are closed after its end. */
    std::list<TokenCut> tokenCuts;

    FakeStore store;
    SimulatedFleet fleet;
    StartChecker checker;

    /** A text for each deadline that was further ahead than the worker's longest lease, which no owner grants. */
    std::vector<std::string> excessiveDeadlines;

    /** Called for each start or stop command to draw its fault, if set. */
    std::function<CommandFault()> drawFault;

    /** The time on the loop's clock. */
    TimePoint now() const;

    /** Called after each start that a worker has carried out. */
    std::function<void(const StartCommand &)> onStarted;
    /** Called after each start that a worker has carried out, before it is checked, if set. */
    std::function<void(const SimulatedWorker &, const StartCommand &, std::int64_t token)> onRunStarted;
    /** Called for each stop that reaches a worker, if set. */
    std::function<void(const SimulatedWorker &, const TaskName &, std::int64_t attempt, std::int64_t token)> onStopped;

    /** If above zero, calls for changes are answered as soon as there is one, which is looked for at this interval. */
    Milliseconds feedInterval { 0 };

private:
    struct WorkerEndpoint
    {
        /** The worker that has the address now. */
        std::string worker;
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
    /** Serves a call for changes with the feedInterval. */
    void serveFeed(const std::string &table, std::int64_t after, TimePoint deadline, const HttpResponderPointer &responder);
    void serveTransaction(const std::string &body, const HttpResponderPointer &responder);
    WorkerEndpoint &endpointOf(const std::string &id) const;
    /** When the lease with the deadline in a request to the worker ends. */
    TimePoint readLeaseEnd(const SimulatedWorker &worker, const nlohmann::json &body);
    /** The address belongs to the worker, and it is still in the life in which a request has reached it. */
    bool isServing(const std::string &id, std::int64_t incarnation);

    void serveWorker(const std::string &id, const WebRequest &request, const HttpResponderPointer &responder);
    void serveCommand(const std::string &id, const WebRequest &request, const HttpResponderPointer &responder);
    void answerReportRequest(const std::string &id, const ReportRequest &reportRequest, const HttpResponderPointer &responder);

    bool isCut(const std::string &id, std::int64_t token) const;
    /** Leaves a request to a worker without a reply until no cut applies to it, then closes its connection. */
    void holdWhileCut(const std::string &id, std::int64_t token, const HttpResponderPointer &responder);

    EventLoop &loop_;
    std::unique_ptr<HttpListener> storeListener_;
    std::map<std::string, StoreClient> storeClients_;
    /** By worker; a worker that has the address of a former one shares its endpoint. */
    std::map<std::string, std::shared_ptr<WorkerEndpoint>> workers_;
};

} // namespace auburndoor
