#pragma once

#include "entry/CellProtocol.h"
#include "net/Address.h"
#include "net/HttpExchange.h"
#include "workload/Advisor.h"

#include <optional>
#include <string>
#include <vector>

namespace auburndoor {

/** What an owner tells another entry process about itself. */
struct Pulse
{
    std::string owner;
    std::int64_t token = 0;
    /** How long the store has not taken the owner's writes. */
    Milliseconds storeAway { 0 };
    /** Stored jobs are read: calls are answered. */
    bool isReady = false;
    /** The version of the desired state that the owner follows. */
    std::int64_t desiredVersion = 0;
    /** The owner's share of a processor. */
    double processorShare = 1.0;
    /** The peer addresses of the entry processes that the owner hears from. */
    std::vector<Address> members;
};

/** What an entry process says of the owner when another one asks. */
struct OwnerSighting
{
    /** It is the owner, or the owner answers it. */
    bool hearsOwner = false;
    std::string owner;
    std::int64_t token = 0;
    std::string address;
};

/** The messages between entry processes, as HTTP requests and replies with JSON bodies. */
class PeerCodec
{
public:
    static constexpr const char *pulsePath = "/cell/pulse";
    /** Added to the path by a process that does not hear the owner yet: it is answered without delay. */
    static constexpr const char *firstPulseQuery = "?first";
    static constexpr const char *sightingPath = "/cell/owner";
    /** The row of the desired state as the owner has read it. */
    static constexpr const char *desiredStatePath = "/cell/desired";
    static constexpr const char *callPath = "/cell/call";
    static constexpr const char *advicePath = "/cell/advice";
    /** The status of a process that does not own the cell. */
    static constexpr int notOwnerStatus = 421;

    static WebRequest pulseRequest(const Address &self);
    static std::optional<Address> readPulseRequest(const WebRequest &request);
    static WebReply pulseReply(const Pulse &pulse);
    static std::optional<Pulse> readPulse(const WebReply &reply);

    static WebReply sightingReply(const OwnerSighting &sighting);
    static std::optional<OwnerSighting> readSighting(const WebReply &reply);

    static WebRequest callRequest(const ClientCall &call);
    static std::optional<ClientCall> readCall(const WebRequest &request);
    static WebReply callReply(const ClientResult &result);
    static std::optional<ClientResult> readCallReply(const WebReply &reply);

    static WebRequest adviceRequest(const AdviceRequest &question);
    static std::optional<AdviceRequest> readAdviceRequest(const WebRequest &request);
    static WebReply adviceReply(const AdviceResult &result);
    static std::optional<AdviceResult> readAdviceReply(const WebReply &reply);
};

} // namespace auburndoor
