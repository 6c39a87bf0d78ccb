#pragma once

#include "entry/RelayTransport.h"
#include "net/HttpChannels.h"

#include <map>
#include <memory>

namespace auburndoor {

class EventLoop;

/** Sends the owner's messages to its relays over HTTP, at PeerCodec::relayPath. */
class HttpRelayTransport : public RelayTransport
{
public:
    explicit HttpRelayTransport(EventLoop &loop);
    ~HttpRelayTransport() override;

    void send(const Address &relay, std::string message, Milliseconds timeout, SendCallback callback) override;

private:
    EventLoop &loop_;
    std::map<Address, std::unique_ptr<HttpChannels>> channels_;
};

} // namespace auburndoor
