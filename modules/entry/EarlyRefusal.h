#pragma once

#include "net/HttpExchange.h"

#include <optional>

namespace auburndoor {

class CellProtocol;
struct DesiredState;

/** Replies to requests that are refused whatever their body holds, so that it need not be read. */
struct EarlyRefusal
{
    /** For a client's request without a route. @return empty if the body has to be read */
    static std::optional<WebReply> ofClient(const CellProtocol &protocol,
                                            const DesiredState &desiredState,
                                            const WebRequest &request);

    /** For a request at the peers' address that names no path of the protocol. @return empty if the body has to be read */
    static std::optional<WebReply> ofPeer(const WebRequest &request);
};

} // namespace auburndoor
