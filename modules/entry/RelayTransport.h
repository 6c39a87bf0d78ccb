#pragma once

#include "core/Clock.h"
#include "net/Address.h"
#include "net/HttpExchange.h"

#include <string>

namespace auburndoor {

/** Sends messages of the owner to its relays. Tests replace it. All members are called from the loop's thread. */
class RelayTransport
{
public:
    virtual ~RelayTransport() = default;

    /**
        Sends a message of WorkerRelayCodec to the process with this peer address.

        @param callback called once, never from within send(); the body of a reply with status 200 is the relay's message
    */
    virtual void send(const Address &relay, std::string message, Milliseconds timeout, SendCallback callback) = 0;
};

} // namespace auburndoor
