#include "entry/EarlyRefusal.h"

#include "entry/CellProtocol.h"
#include "entry/PeerCodec.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace auburndoor {

std::optional<WebReply> EarlyRefusal::ofClient(const CellProtocol &protocol,
                                               const DesiredState &desiredState,
                                               const WebRequest &request)
{
    if (desiredState.version == 0) {
        return std::nullopt;
    }
    // Only the headers decide whether there is a route. Any other result may be due to the missing body, or to a key that the store
    // may know by now.
    WebRequest withoutBody { request.method, request.target, request.headers, {} };
    std::optional<ClientResult> result;
    const auto call = protocol.readCall(withoutBody, desiredState, result);
    if (!result || result->outcome != ClientResult::Outcome::NoSuchQueue) {
        return std::nullopt;
    }
    return protocol.writeResult(call, *result);
}

std::optional<WebReply> EarlyRefusal::ofPeer(const WebRequest &request)
{
    static constexpr std::array<std::string_view, 7> paths {
        PeerCodec::heartbeatPath, PeerCodec::successionPath, PeerCodec::ownerViewPath, PeerCodec::desiredStatePath,
        PeerCodec::callPath,      PeerCodec::advicePath,     PeerCodec::relayPath,
    };
    const bool isKnown = std::any_of(
        paths.begin(), paths.end(), [&request](std::string_view path) { return request.target.starts_with(path); });
    return isKnown ? std::nullopt : std::optional(WebReply { 404, {}, {} });
}

} // namespace auburndoor
