#include "entry/HttpRelayTransport.h"

#include "entry/PeerCodec.h"

namespace auburndoor {

namespace {

// One request may wait for replies at the relay while the next one brings commands, and a third one replaces a broken one.
constexpr HttpChannelLimits relayChannelLimits { .maxConnections = 3, .connectTimeout = Milliseconds(400) };

} // namespace

HttpRelayTransport::HttpRelayTransport(EventLoop &loop) : loop_(loop)
{
}

HttpRelayTransport::~HttpRelayTransport() = default;

void HttpRelayTransport::send(const Address &relay, std::string message, Milliseconds timeout, SendCallback callback)
{
    auto &channels = channels_[relay];
    if (!channels) {
        channels = std::make_unique<HttpChannels>(loop_, relay, relayChannelLimits);
    }
    // Not repeatable: commands whose message may have arrived end as unanswered.
    channels->send({ "POST", PeerCodec::relayPath, {}, std::move(message), false }, timeout, std::move(callback));
}

} // namespace auburndoor
