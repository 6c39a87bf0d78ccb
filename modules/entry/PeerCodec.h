#pragma once

#include "entry/CellProtocol.h"
#include "net/Address.h"
#include "net/HttpExchange.h"
#include "workload/Advisor.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburndoor {

/** The reply of the owner to another entry process's heartbeat request. */
struct OwnerHeartbeat
{
    /** The owner's node name. */
    std::string owner;
    /** The owner's fencing token. */
    std::int64_t token = 0;
    /** How long the store has not served the owner; zero if it does. */
    Milliseconds storeStallDuration { 0 };
    /** True if the owner has read the stored jobs and answers calls. */
    bool isReady = false;
    /** The version of the desired state that the owner's process has read; 0 if none. */
    std::int64_t desiredStateVersion = 0;
    /** The share of a processor core that the owner's process may use. */
    double processorShare = 1.0;
    /** The peer addresses of some of the entry processes that have recently requested a heartbeat. */
    std::vector<Address> members;
    /** How late the owner's event loop has recently run its timers. */
    Milliseconds loopDelay { 0 };
    /** The delay after which the owner will answer the next heartbeat request; zero if it does not say. */
    Milliseconds nextDelay { 0 };
    /** The table that the owner cannot read for storeStallDuration; empty if the store does not accept its writes. */
    std::string stalledTable = {};
};

/** What an entry process tells the owner of itself when it requests a heartbeat. */
struct FollowerReport
{
    /** Its peer address. */
    Address address;
    /** The share of a processor core that it may use; 0 if it does not say. */
    double processorShare = 0.0;
    /** True if it does not take over, as it has been told to stop. */
    bool isStopping = false;
    /** The version of the desired state that it has; 0 if it does not say. */
    std::int64_t desiredStateVersion = 0;
};

/** What an entry process knows of the owner, sent to another one that has lost contact with the owner or the store. */
struct OwnerView
{
    /** True if the process that sends the view is the owner or gets heartbeats from it. */
    bool isOwnerReachable = false;
    /** The node name of the owner. */
    std::string owner;
    /** The fencing token of the owner; 0 if none is known. */
    std::int64_t token = 0;
    /** The peer address of the owner. */
    std::string address;
};

/** The messages between entry processes, as HTTP requests and replies with JSON bodies. */
class PeerCodec
{
public:
    static constexpr const char *heartbeatPath = "/cell/pulse";
    /** Added to the path by a process that has no heartbeat of the owner yet; the owner answers it without delay. */
    static constexpr const char *firstHeartbeatQuery = "?first";
    static constexpr const char *successionPath = "/cell/succeed";
    static constexpr const char *ownerViewPath = "/cell/owner";
    /** Serves a DesiredStateCopy of the state that the process has read. */
    static constexpr const char *desiredStatePath = "/cell/desired";
    static constexpr const char *callPath = "/cell/call";
    static constexpr const char *advicePath = "/cell/advice";
    /** Takes messages of WorkerRelayCodec. */
    static constexpr const char *relayPath = "/cell/relay";
    /** True if the target of a request begins with one of these paths. */
    static bool isPath(std::string_view target);

    /** The HTTP status with which a process answers that it does not own the cell. */
    static constexpr int notOwnerStatus = 421;

    static WebRequest heartbeatRequest(const FollowerReport &report);
    static std::optional<FollowerReport> readHeartbeatRequest(const WebRequest &request);
    static WebReply heartbeatReply(const OwnerHeartbeat &heartbeat);
    static std::optional<OwnerHeartbeat> readHeartbeat(const WebReply &reply);

    /** Tells a process that it is to succeed the owner with this fencing token, which has ended its ownership. */
    static WebRequest successionRequest(std::int64_t token);
    static std::optional<std::int64_t> readSuccessionRequest(const WebRequest &request);

    static WebReply ownerViewReply(const OwnerView &view);
    static std::optional<OwnerView> readOwnerView(const WebReply &reply);

    /** Answers a call that this process does not serve. @param why for a person, with what is known of the ownership */
    static WebReply notOwnerReply(const std::string &why);
    /** Describes an answer that is no result of a call: its reason if it is a notOwnerReply(), else its status. */
    static std::string describeRefusedCall(const WebReply &reply);

    /** @param baseVersion the version on which the copy may rest; 0 for none */
    static WebRequest desiredStateRequest(std::int64_t baseVersion);
    /** The version on which the copy may rest; empty in requests of earlier releases, which expect the plain text. */
    static std::optional<std::int64_t> readDesiredStateBase(const WebRequest &request);

    static WebRequest callRequest(const ClientCall &call);
    static std::optional<ClientCall> readCall(const WebRequest &request);
    static WebReply callReply(const ClientResult &result);
    static std::optional<ClientResult> readCallReply(const WebReply &reply);

    static WebRequest adviceRequest(const AdviceRequest &adviceRequest);
    static std::optional<AdviceRequest> readAdviceRequest(const WebRequest &request);
    static WebReply adviceReply(const AdviceResult &result);
    static std::optional<AdviceResult> readAdviceReply(const WebReply &reply);
};

} // namespace auburndoor
