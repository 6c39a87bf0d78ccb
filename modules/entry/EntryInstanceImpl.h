#pragma once

#include "entry/AdvicePool.h"
#include "entry/ClientCallReader.h"
#include "entry/ConnectionBudget.h"
#include "entry/DesiredStateExchange.h"
#include "entry/DesiredStateHolder.h"
#include "entry/EntryInstance.h"
#include "entry/HttpRelayTransport.h"
#include "entry/Leadership.h"
#include "entry/ListenerDrain.h"
#include "entry/NewerStateForwarder.h"
#include "entry/Owner.h"
#include "entry/OwnerCallForwarder.h"
#include "entry/RelayedWorkerClientFactory.h"
#include "entry/WorkerRelay.h"
#include "entry/WorkerRelayPool.h"
#include "net/HttpListener.h"
#include "workload/StoreTimeline.h"

#include <memory>
#include <optional>

namespace auburndoor {

/** The parts of an EntryInstance, shared with the callbacks of its calls in flight. */
struct EntryInstance::Impl : std::enable_shared_from_this<EntryInstance::Impl>
{
    explicit Impl(const EntryDependencies &dependencies);

    void serveClient(WebRequest request, HttpResponderPointer responder);
    /** Decides a client's request by the desired state of this process. */
    void decideRequest(WebRequest request, HttpResponderPointer responder);
    /** Lets another process decide a client's request. @param holder the peer address of that process */
    void passOn(WebRequest request, const Address &holder, HttpResponderPointer responder);
    /** Decides a client's request that another process has passed on. */
    void servePassedRequest(const WebRequest &message, HttpResponderPointer responder);
    /** Passes a call to the owner and its answer to the client. */
    void forwardCall(const ClientCall &call, const HttpResponderPointer &responder);
    void servePeer(WebRequest request, HttpResponderPointer responder);
    void serveAdvice(const WebRequest &request, HttpResponderPointer responder);
    /** Starts an Owner. */
    void onOwnershipWon(const Ownership &ownership);
    /** The heartbeat of this process as the owner; empty if it is not the owner. */
    std::optional<OwnerHeartbeat> ownHeartbeat();
    /** True if this process can serve clients: it has a desired state, knows a ready owner and is not stopping. */
    bool isReady() const;
    void serveOperator(const WebRequest &request, HttpResponder &responder);
    void flushLog();
    /** Ends the ownership, if this process has it, so that another process takes over at once. */
    void handOver();
    /** Logs what the exit of this process leaves without an answer. */
    void logStopped() const;

    EntryDependencies dependencies;
    EventLoop &loop;
    /** Null unless this process is the owner. */
    std::unique_ptr<Owner> owner;
    AdvicePool advicePool;
    Leadership leadership;
    HttpRelayTransport relayTransport;
    WorkerRelayPool relayPool;
    RelayedWorkerClientFactory workerClients;
    /** Carries out the commands of another process that is the owner. */
    WorkerRelay workerRelay;
    OwnerCallForwarder callForwarder;
    /** Known from the operator's table before this process becomes the owner. */
    StoreTimeline storeTimeline;
    DesiredStateHolder desiredState;
    DesiredStateExchange desiredStateExchange;
    NewerStateForwarder newerStateForwarder;
    ClientCallReader callReader;
    ConnectionBudget connectionBudget;
    HttpListener clientListener;
    HttpListener readinessListener;
    HttpListener peerListener;
    HttpListener operatorListener;
    /** Null unless this process is stopping. */
    std::unique_ptr<ListenerDrain> drain;
    bool isStopping = false;
};

} // namespace auburndoor
